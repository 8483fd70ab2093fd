/** The kinds of events in a restart plan. */
#pragma once

namespace boragetrack::emulator::restarts {

/** Distinguishes what happens to the processes, the store and the network. */
enum class RestartFaultKind {
    /** Nodes' processes end without notice and start again after the duration. */
    Kill,
    /** Nodes' processes stop as planned and start again after the duration. */
    Stop,
    /** The store does not respond to nodes. */
    SilentStore,
    /** The store refuses the calls of nodes, but keeps the watches that it has accepted. */
    BusyStore,
    /** The store executes the calls of nodes, and half of its responses are lost. */
    LossyStore,
    /** The store does not respond to the nodes that are its selected followers at that moment. */
    SilentForFollowers,
    /** The store refuses the calls of the nodes that are its selected followers at that moment, and
        their pending watches get no response. */
    RejectedFollowers,
    /** The store's responses to waiting watches of the nodes that are its selected followers at
       that moment name the last change without carrying it. */
    EarlyForFollowers,
    /** Nodes reach each other only; neither other nodes nor the store. */
    Cut,
    /** Operators store a new intent. */
    Change,
    /** Operators order a move to a version that fails. */
    BadMove,
    /** Nodes' upstreams depart, and earlier announcements of them arrive late. */
    Departure,
};

} // namespace boragetrack::emulator::restarts
