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
    /** The same, and their pending watches fail at that moment. */
    RefusedWithLostWatches,
    /** The store does not respond to the nodes that are its selected followers at that moment, and
        their pending watches fail at that moment. */
    SilentWithLostWatches,
    /** The store refuses the calls of the nodes that are its selected followers at that moment, but
        serves their pending watches. */
    RefusedWithKeptWatches,
    /** The process of the selected follower with the lowest id ends without notice and starts again
        after the duration. */
    KilledProber,
    /** The same node reaches neither other nodes nor the store. */
    FrozenProber,
    /** The store's responses to waiting watches of the nodes that are its selected followers at
       that moment name the last change without carrying it. */
    EarlyForFollowers,
    /** Nodes' open connections to the store become silent; new ones are in order. */
    SilentConnections,
    /** The same for the nodes that are the store's selected followers at that moment. */
    SilentConnectionsOfFollowers,
    /** Changes arrive by the duration later at the pending watches of one of the selected
       followers, from now on; reads are current. */
    LateWatch,
    /** Nodes reach each other only; neither other nodes nor the store. */
    Cut,
    /** Nodes of different data centres do not reach each other; the store reaches all. */
    DataCentresApart,
    /** Nodes reach no other node, but the store. */
    NodesApart,
    /** Open links from and to nodes carry nothing until they are replaced after the duration. */
    SilentLinks,
    /** The same, but only what these nodes send is lost. */
    SilentLinksOneWay,
    /** Operators store a new intent. */
    Change,
    /** Operators order a move to a version that fails. */
    BadMove,
    /** Nodes' upstreams depart, and earlier announcements of them arrive late. */
    Departure,
};

/** Returns the name of a kind for reports. */
const char *nameOf(RestartFaultKind kind);

} // namespace boragetrack::emulator::restarts
