"""State charts in YAML files, which the code interprets or flattens to transition tables."""
