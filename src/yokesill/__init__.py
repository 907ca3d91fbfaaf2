"""yokesill: a query tier between callers and many shards, built to meet tail-latency contracts."""

__version__ = "0.1.0"
