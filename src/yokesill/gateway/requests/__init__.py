"""One request from its arrival to its final answer: fan-out, hedges, retries, refusals."""
