"""The server side towards callers: sockets, the listener, and the ASGI application that answers requests."""
