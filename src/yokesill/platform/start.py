"""Starts a node: opens the socket for callers first, and imports everything else after it.

Imports take longer than the rest of a node's start. Callers that connect meanwhile wait in the socket's
queue and are answered a moment later; without the socket they would be refused, and many would use up their
retries while all nodes restart after a power failure.

Only what this module needs is imported at module level, because each import delays the socket.
"""

from yokesill.callers.sockets import listen_early
from yokesill.serving.start_times import StartTimes


def main(arguments: list[str], start_times: StartTimes) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    arguments
        The address for callers as ``HOST:PORT``, if it is known before the settings are read.
    start_times
        The steps of the start until now.
    """
    listening = listen_early(arguments[0]) if arguments else None
    from yokesill import gc_tuning, lazy_imports  # noqa: PLC0415 (after the socket is open)

    gc_tuning.pause()
    lazy_imports.install()
    from yokesill.platform.main import run  # noqa: PLC0415 (after the socket is open)

    return run(listening, start_times)
