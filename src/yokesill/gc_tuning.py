"""When the interpreter looks for cycles of garbage: not while a node starts.

What is made while a node loads its modules and its first lists stays until its end; looking through
it for garbage takes 6 in 100 of the start's processor time, and every later look at everything takes
8 ms of a node's answers for 28,000 objects. So the collector is off until the node listens, and what
was there by then, and when it became ready, is not looked through again.
"""

import gc

_postponed = False


def postpone() -> None:
    """Collect nothing until ``keep_for_good``; only whoever starts a process calls it."""
    global _postponed  # noqa: PLW0603 (the collector is one of the process, too)
    _postponed = True
    gc.disable()


def keep_for_good() -> None:
    """Take what is there out of collections, and begin to collect; nothing where it was not postponed."""
    if _postponed:
        gc.freeze()
        gc.enable()
