"""The callers' HTTP API, and the server that carries all of a node's HTTP."""
