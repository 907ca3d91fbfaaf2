"""Statecharts in YAML files, either interpreted or flattened to transition tables."""
