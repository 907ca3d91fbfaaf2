"""Starts a node: opens the callers' socket first, loads everything else after it.

Loading takes a node longer than everything else at its start. Callers that connect meanwhile wait in
the socket's queue and are answered a moment later; without the socket they would be turned away, and
many would use up their retries while all nodes come back after a loss of power.

Only what this module needs is imported at its head: each import is time without a socket.
"""

from yokesill.callers.sockets import listen_early


def main(arguments: list[str]) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    arguments
        The callers' address as ``HOST:PORT``, if it is known before the settings are read.
    """
    listening = listen_early(arguments[0]) if arguments else None
    from yokesill import gc_tuning, lazy_imports  # noqa: PLC0415 (after the socket is open)

    gc_tuning.pause()
    lazy_imports.install()
    from yokesill.platform.main import run  # noqa: PLC0415 (after the socket is open)

    return run(listening)
