"""Decisions of the gateway, without I/O: where a request is sent, when it is retried and how it is answered.

``GatewayRouter.on_event(event, now)`` takes typed events and the time in seconds and returns typed
actions. Nothing here reads a clock, does I/O, or draws randomness of its own.
"""
