"""What all datagrams between nodes share: frame, chunks, whom a node tells, and who acts first by rank.

``outliers``, ``quarantine``, ``rollouts`` and ``watchers`` keep their messages' fields and their decisions.
Sans I/O: ``serving/datagrams`` carries the bytes.
"""
