"""When the garbage collector runs: not while a node starts, and never over what was there by then.

Modules and first lists live until the process ends. Collecting among them costs 6% of the start's processor
time, and each later full collection 8 ms of a node's answers for 28,000 objects
(``docs/design/startup-and-memory.md``). So the collector is off until the node listens, and objects of that
moment, and of the moment at which it is ready, are frozen.
"""

import gc

_paused = False


def pause() -> None:
    """Collect nothing until ``freeze``; only the entry point of a process calls it."""
    global _paused  # noqa: PLW0603 (the collector is one of the process, too)
    _paused = True
    gc.disable()


def freeze() -> None:
    """Exclude all present objects from collections, and collect from now on; only after ``pause``."""
    if _paused:
        gc.freeze()
        gc.enable()
