"""Turns garbage collection off while a node starts, and excludes the objects created by then from it.

Modules and the first lists from the registry live until the process ends. Collections during the start take
6% of its CPU time, and each later full collection over 28,000 such objects delays a node's answers by 8 ms
(``docs/design/startup-and-memory.md``). The collector is therefore off until the node listens, and the
objects that exist then, and those that exist when the node becomes ready, are frozen.
"""

import gc

_paused = False


def pause() -> None:
    """Disable garbage collection until ``freeze``; called only by the entry point of a process."""
    global _paused  # noqa: PLW0603 (the collector is process-wide, too)
    _paused = True
    gc.disable()


def freeze() -> None:
    """Exclude all existing objects from collections and enable them again; no effect without ``pause``."""
    if _paused:
        gc.freeze()
        gc.enable()
