"""Runs ``membership`` and ``replication`` over a transport and the platform's store."""
