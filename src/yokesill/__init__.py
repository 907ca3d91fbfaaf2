"""yokesill: a query tier between callers and many shards, for contracts on tail latency."""

__version__ = "0.1.0"
