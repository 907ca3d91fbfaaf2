"""Reads numbers from headers, which any peer may fill with any number of digits."""

# Larger numbers count as this one, which fits into every type that they are converted to.
MAX_NUMBER = 10**12
_MAX_DIGITS = len(str(MAX_NUMBER))


def parse_digits(value: bytes) -> int | None:
    """Return a number of decimal digits, at most ``MAX_NUMBER``; ``None`` if it is anything else."""
    digits = value.strip()
    if not digits.isdigit():
        return None
    return int(digits) if len(digits) < _MAX_DIGITS else MAX_NUMBER
