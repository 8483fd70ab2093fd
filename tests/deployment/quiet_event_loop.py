"""An event loop for stand-ins whose connections end in every way."""

from asyncserver import EventLoopThread


def quiet_event_loop():
    """Returns an event loop that reports no exception of a task that nobody awaits: the peers of
    these stand-ins are killed and reset."""
    event_loop = EventLoopThread()
    event_loop.loop.set_exception_handler(lambda loop, context: None)
    return event_loop
