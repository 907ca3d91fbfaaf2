"""What one node sent under an order, and samples of the outcomes, until they are reported."""

from yokesill.rollouts.messages import Sample

# Samples kept between two reports; a report of them fits two datagrams. A node has some requests a second for
# each service; what a strong one drops of its hundreds it counts.
MAX_NEW_SAMPLES, MAX_OLD_SAMPLES = 24, 12


class OrderSamples:
    """One node's requests under one order since it knows it.

    ``sent_old`` and ``sent_new`` are totals of everything that was sent to either version, whatever came
    of it; ``dropped`` is how many samples were over the limit.
    """

    __slots__ = ("_new", "_old", "dropped", "sent_new", "sent_old")

    def __init__(self) -> None:
        self.sent_old = self.sent_new = self.dropped = 0
        self._old: list[Sample] = []
        self._new: list[Sample] = []

    def count_sent(self, new: bool) -> None:
        """Count a request that is sent to a server of the new version, or of another."""
        if new:
            self.sent_new += 1
        else:
            self.sent_old += 1

    def add(self, sample: Sample) -> None:
        """Keep how an attempt ended, or count it as dropped."""
        kept, most = (self._new, MAX_NEW_SAMPLES) if sample.new else (self._old, MAX_OLD_SAMPLES)
        if len(kept) < most:
            kept.append(sample)
        else:
            self.dropped += 1

    def take_samples(self) -> tuple[Sample, ...]:
        """Return the samples since the last call, those of the new version first."""
        samples = (*self._new, *self._old)
        self._new, self._old = [], []
        return samples
