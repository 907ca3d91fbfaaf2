"""Common parts of all datagrams between nodes: framing, chunking, recipients, and ranking of nodes.

``outliers``, ``quarantine``, ``rollouts`` and ``watchers`` define their own message fields and decisions.
Sans I/O: ``serving/datagrams`` sends and receives the bytes.
"""
