"""Policies: CEL rules, compiled once when a document is accepted and evaluated to typed outcomes."""
