"""Runs queries: carries out the actions of ``routing`` and handles idempotency keys."""
