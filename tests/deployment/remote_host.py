"""An object that lives in a process of its own, so that others can't keep it waiting."""

import multiprocessing
import threading
import traceback


def _serve(connection, factory, arguments):
    host = factory(*arguments)
    while True:
        request = connection.recv()
        if request is None:
            break
        name, parameters = request
        try:
            connection.send((True, getattr(host, name)(*parameters)))
        except Exception:  # reported to the caller, which raises
            connection.send((False, traceback.format_exc()))


class RemoteHost:
    """Calls methods of an object in a child process, one at a time."""

    def __init__(self, factory, *arguments):
        context = multiprocessing.get_context("fork")
        self._connection, remote = context.Pipe()
        self._process = context.Process(target=_serve, args=(remote, factory, arguments),
                                        daemon=True)
        self._process.start()
        remote.close()
        self._lock = threading.Lock()

    def call(self, name, *parameters):
        """Calls a method. Returns its result; raises RuntimeError if it failed."""
        with self._lock:
            self._connection.send((name, parameters))
            succeeded, result = self._connection.recv()
        if not succeeded:
            raise RuntimeError(result)
        return result

    @property
    def pid(self):
        return self._process.pid

    def stop(self):
        """Ends the process."""
        self._process.terminate()
        self._process.join()
