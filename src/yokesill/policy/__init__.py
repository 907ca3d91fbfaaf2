"""Policies: CEL rules, compiled when a document is accepted and evaluated to typed outcomes."""
