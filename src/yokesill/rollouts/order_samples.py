"""Counts the requests that one node sent under an order, and keeps samples of their outcomes to report."""

from yokesill.rollouts.messages import Sample

# Samples kept between two reports, which fit into two datagrams. Most nodes have a few requests a second per
# service; a strong node, which has hundreds, counts the samples that it drops.
MAX_NEW_SAMPLES, MAX_OLD_SAMPLES = 24, 12


class OrderSamples:
    """One node's requests under one order since it received the order.

    ``sent_old`` and ``sent_new`` are the total requests sent to each version, regardless of their outcome;
    ``dropped`` is the number of samples over the limit.
    """

    __slots__ = ("_new", "_old", "dropped", "sent_new", "sent_old")

    def __init__(self) -> None:
        self.sent_old = self.sent_new = self.dropped = 0
        self._old: list[Sample] = []
        self._new: list[Sample] = []

    def count_sent(self, new: bool) -> None:
        """Count a request sent to a server of the new version, or of another one."""
        if new:
            self.sent_new += 1
        else:
            self.sent_old += 1

    def add(self, sample: Sample) -> None:
        """Keep the outcome of an attempt, or count it as dropped."""
        kept, limit = (self._new, MAX_NEW_SAMPLES) if sample.new else (self._old, MAX_OLD_SAMPLES)
        if len(kept) < limit:
            kept.append(sample)
        else:
            self.dropped += 1

    def take_samples(self) -> tuple[Sample, ...]:
        """Return the samples since the last call, those of the new version first."""
        samples = (*self._new, *self._old)
        self._new, self._old = [], []
        return samples
