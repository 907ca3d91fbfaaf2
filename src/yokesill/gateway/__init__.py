"""Decisions of the gateway, sans I/O: which servers a request goes to, when again, and what is answered.

``GatewayRouter.on_event(event, now)`` takes typed events and the time in seconds and returns typed
actions. Nothing here reads a clock, does I/O, or draws randomness of its own.
"""
