"""The HTTP API for callers, and the HTTP server of a node."""
