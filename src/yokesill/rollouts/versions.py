"""Determines which versions of a service a node may use, by the effective state of the service's order.

Inputs: the listed servers' versions, the order's effective state, and the versions established before. This
is the only implementation of the table in ``docs/design/rollouts.md``.

Which versions serve without an order is known from the registry's record and from orders that were completed;
else from the listed servers where they have one version, or from a node that saw that; else it is a guess.
"""

import enum
from collections.abc import Collection, Iterable, Mapping

from yokesill.positions import Position
from yokesill.rollouts.orders import OrderId, RolloutState
from yokesill.rollouts.version_record import NO_ORDER, Recorded, RecordedVersions

Versions = frozenset[str]
_NO_VERSIONS: Versions = frozenset()


class Basis(enum.IntEnum):
    """What the established versions rest on; each outweighs those before it.

    ``GUESS``: the oldest entry. ``LISTING``: no other version was listed, here or at the node that told it.
    ``RECORD``: the registry's record, or an order that was completed.
    """

    GUESS = 0
    LISTING = 1
    RECORD = 2


class ServiceVersions:
    """The versions allowed for every service; times in seconds of the node's clock.

    ``gated`` are the services with known servers that may not be used. Versions are checked only for these,
    so services without a roll-out cost nothing.

    Parameters
    ----------
    active
        Whether versions are enforced; if not, every server may be used.
    gone_grace_s
        How long no server of the established versions must be listed before another version replaces them;
        entries also lapse briefly after the registry was unavailable.
    """

    __slots__ = ("_active", "_gone_grace_s", "_services", "gated")

    def __init__(self, active: bool, gone_grace_s: float) -> None:
        self.gated: set[str] = set()
        self._active = active
        self._gone_grace_s = gone_grace_s
        self._services: dict[str, _Service] = {}

    @property
    def active(self) -> bool:
        """Whether versions are enforced."""
        return self._active

    def set_listed(self, service: str, counts: Mapping[str, int], known: Iterable[str], now: float) -> None:
        """Set how many servers of each version are listed, and all versions that still have known servers.

        ``counts`` begins with the version of the service's oldest server.
        """
        if self._active:
            tracked = self._service(service)
            tracked.set_listed(counts, frozenset(known), now)
            self._update_gated(service, tracked)

    def set_state(self, order: OrderId, state: RolloutState, timeline: int = 0) -> None:
        """Set the effective state of a service's order, which replaces any other order of the service.

        The order was created on ``timeline`` of the registry.
        """
        if self._active:
            tracked = self._service(order.service)
            tracked.set_state(order, state, timeline)
            self._update_gated(order.service, tracked)

    def withdraw(self, service: str) -> None:
        """Remove the order of a service."""
        tracked = self._services.get(service)
        if tracked is not None:
            tracked.forget_order()
            self._update_gated(service, tracked)

    def adopt_established(self, versions: Mapping[str, Iterable[str]]) -> None:
        """Adopt another node's established versions for services where this node has only a guess."""
        for service, names in versions.items() if self._active else ():
            tracked = self._service(service)
            if not tracked.certain and tracked.adopt(frozenset(names), Basis.LISTING):
                self._update_gated(service, tracked)

    def adopt_recorded(self, recorded: Recorded) -> None:
        """Adopt the registry's record, for services where this node knows nothing that outweighs it."""
        for service, each in recorded.items() if self._active else ():
            tracked = self._service(service)
            outweighed = tracked.basis is not Basis.RECORD or tracked.since < each.since
            if outweighed and tracked.adopt(frozenset(each.versions), Basis.RECORD):
                tracked.since = each.since
                self._update_gated(service, tracked)

    def recordable(self) -> Recorded:
        """Return the established versions for the registry's record, leaving out guesses."""
        return {
            name: RecordedVersions(tuple(sorted(each.established)), each.since)
            for name, each in self._services.items()
            if each.certain and each.established
        }

    @property
    def services(self) -> Collection[str]:
        """The services with known servers, an order or established versions."""
        return self._services.keys()

    def established(self) -> dict[str, tuple[str, ...]]:
        """Return the established versions for a node that starts, leaving out guesses."""
        tracked = self._services.items()
        return {name: tuple(sorted(each.established)) for name, each in tracked if each.certain}

    @property
    def has_guesses(self) -> bool:
        """Whether the established versions of any service are a guess."""
        return any(each.established and not each.certain for each in self._services.values())

    def retain(self, services: Collection[str]) -> None:
        """Drop all services that are not in ``services`` and have neither known servers nor an order."""
        for name, tracked in list(self._services.items()):
            if name not in services and not tracked.known and tracked.order is None:
                del self._services[name]
                self.gated.discard(name)

    def allowed(self, service: str, new: bool, now: float) -> Versions:
        """Return the versions that may be used.

        Parameters
        ----------
        service
            One of ``gated``; of other services any server may be used.
        new
            Whether to return the order's target, as for canary calls and for services that are switching, or
            the versions that serve beside it.
        """
        tracked = self._service(service)
        before = tracked.established
        versions = tracked.allowed(new, now, self._gone_grace_s)
        if tracked.established is not before:
            self._update_gated(service, tracked)
        return versions

    def _service(self, name: str) -> "_Service":
        tracked = self._services.get(name)
        if tracked is None:
            tracked = self._services[name] = _Service()
        return tracked

    def _update_gated(self, name: str, tracked: "_Service") -> None:
        if tracked.has_open_order or not tracked.known <= tracked.established - tracked.excluded:
            self.gated.add(name)
        else:
            self.gated.discard(name)


class _Service:
    """The versions and the order of one service.

    ``basis`` is what the established versions rest on, ``since`` the position at which the order was created
    that established them, and ``in_place`` means that the order's target is the version that already served.
    ``superseded`` are versions that others replaced without an order. ``excluded`` are versions that the
    order ended for good: a target that was rolled back, or the versions that a completed target replaced.
    """

    __slots__ = (
        "basis",
        "counts",
        "established",
        "excluded",
        "gone_since_s",
        "in_place",
        "known",
        "order",
        "since",
        "state",
        "superseded",
    )

    def __init__(self) -> None:
        self.established = self.superseded = self.excluded = self.known = _NO_VERSIONS
        self.counts: Mapping[str, int] = {}
        self.basis, self.since = Basis.GUESS, NO_ORDER
        self.in_place = False
        self.gone_since_s: float | None = None
        self.order: OrderId | None = None
        self.state: RolloutState | None = None

    @property
    def certain(self) -> bool:
        """Whether the established versions are not a guess."""
        return self.basis is not Basis.GUESS

    @property
    def has_open_order(self) -> bool:
        """Whether there is an order whose state is not final."""
        return self.state is not None and not self.state.final

    @property
    def _target(self) -> Versions:
        return _NO_VERSIONS if self.order is None else frozenset({self.order.target})

    def adopt(self, versions: Versions, basis: Basis) -> bool:
        """Establish versions that the record or another node tells.

        Versions that are not listed may have lapsed for a moment; they are given up as any that are gone.
        Return ``False``, and change nothing, if others have replaced them already.
        """
        if versions <= self.superseded or self.state is RolloutState.COMPLETED:
            return False
        self.established, self.basis = versions, basis
        self.in_place = self.order is not None and versions == self._target
        if self.in_place:
            self.excluded = _NO_VERSIONS
        return True

    def set_listed(self, counts: Mapping[str, int], known: Versions, now: float) -> None:
        self.counts, self.known = counts, known
        if not self.established:
            self._establish_first()
        returned = self.superseded & frozenset(counts)
        if returned and self.order is None:
            self.established, self.superseded, self.basis = returned, _NO_VERSIONS, Basis.LISTING
        self._all_gone(self.established, now, 0.0)

    def _establish_first(self) -> None:
        """Establish the versions that serve, from the order if there is one or else from the servers alone.

        A node that starts during a roll-out takes every version but the target. Without an order, it takes
        the version of the oldest server, since the servers of a later version are started beside those that
        serve. That is a guess: entries that lapsed and came back count as new.
        """
        others = frozenset(self.counts) - self._target
        if others and self.order is not None:
            self.established, self.basis = others, Basis.LISTING
        elif others:
            oldest = next(each for each in self.counts if each in others)
            self.established = frozenset({oldest})
            self.basis = Basis.LISTING if len(others) == 1 else Basis.GUESS

    def set_state(self, order: OrderId, state: RolloutState, timeline: int) -> None:
        restarted = self.state is not None and self.state.final and not state.final
        if self.order != order or restarted:
            self.forget_order()
            self.order = order
            self._begin_order(state)
        self.state = state
        if state is RolloutState.COMPLETED:
            self.excluded = self.established - self._target
            self.established, self.superseded, self.basis = self._target, _NO_VERSIONS, Basis.RECORD
            self.since = Position(timeline, order.created_revision)
        elif state is RolloutState.ROLLED_BACK and not self.in_place:
            self.excluded = self._target

    def _begin_order(self, state: RolloutState) -> None:
        """Begin a new order; established versions that were a guess become every version but its target."""
        target = self._target
        self.in_place = state is RolloutState.ORDERED and self.certain and self.established == target
        if not self.in_place and not (self.certain and self.established - target):
            others = (self.established | self.superseded | frozenset(self.counts)) - target
            self.established, self.superseded = others, _NO_VERSIONS
            self.basis = Basis.LISTING if others else Basis.GUESS

    def forget_order(self) -> None:
        self.order = self.state = None
        self.in_place, self.excluded = False, _NO_VERSIONS

    def allowed(self, new: bool, now: float, gone_grace_s: float) -> Versions:
        if new:
            given = self.state in (RolloutState.CANARY, RolloutState.SWITCHING)
            return self._target if given else _NO_VERSIONS
        if self.has_open_order and not self.in_place:
            old = self.established - self._target
            return old | self._target if self._all_gone(old, now, gone_grace_s) else old
        self._replace_gone(now, gone_grace_s)
        return self.established - self.excluded

    def _all_gone(self, versions: Versions, now: float, grace_s: float) -> bool:
        """Whether no server of the versions has been listed for ``grace_s``, or ``versions`` is empty."""
        if not versions.isdisjoint(self.counts):
            self.gone_since_s = None
            return False
        if self.gone_since_s is None:
            self.gone_since_s = now
        return not versions or now - self.gone_since_s >= grace_s

    def _replace_gone(self, now: float, grace_s: float) -> None:
        """Establish the listed versions, as a guess, once no server of the established ones is left."""
        others = frozenset(self.counts) - self.excluded
        if self._all_gone(self.established - self.excluded, now, grace_s) and others:
            self.superseded, self.established = self.superseded | self.established, others
            self.basis, self.gone_since_s = Basis.GUESS, None
