"""Every data-path decision, without I/O: admit, choose a server, wait, hedge, retry, give up, refuse.

``Router.on_event(event, now)`` takes typed events and the time in seconds and returns typed
actions. Nothing here reads a clock, does I/O or creates a random source.
"""
