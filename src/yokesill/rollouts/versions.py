"""Which versions of a service a node may use, by the effective state of the service's order.

Inputs: the listed servers' versions, the order's effective state, and what was established before. The only
place of the table in ``docs/design/rollouts.md``.
"""

from collections.abc import Collection, Iterable, Mapping

from yokesill.rollouts.orders import OrderId, RolloutState

Versions = frozenset[str]
_NONE: Versions = frozenset()


class ServiceVersions:
    """What may be reached of every service; times in seconds of the node's clock.

    ``gated`` are the services of which not every known server may be reached: only for
    these the versions are checked, which costs nothing for a service that nobody rolls out.

    Parameters
    ----------
    active
        Whether versions count at all; otherwise every server may be reached.
    gone_grace_s
        How long the entries of all servers of the established versions must be gone before another version
        takes their place: entries also lapse for a moment when the registry was away.
    """

    __slots__ = ("_active", "_gone_grace_s", "_services", "gated")

    def __init__(self, active: bool, gone_grace_s: float) -> None:
        self.gated: set[str] = set()
        self._active = active
        self._gone_grace_s = gone_grace_s
        self._services: dict[str, _Service] = {}

    @property
    def active(self) -> bool:
        """Whether versions count at all."""
        return self._active

    def set_listed(self, service: str, counts: Mapping[str, int], known: Iterable[str], now: float) -> None:
        """Take how many servers of each version are listed, and all versions that are still known of."""
        if self._active:
            kept = self._service(service)
            kept.list(counts, frozenset(known), now)
            self._gate(service, kept)

    def set_state(self, order: OrderId, state: RolloutState) -> None:
        """Set the effective state of a service's order; it replaces any other order of the service."""
        if self._active:
            kept = self._service(order.service)
            kept.set_state(order, state)
            self._gate(order.service, kept)

    def withdraw(self, service: str) -> None:
        """Take that a service has no order any more."""
        kept = self._services.get(service)
        if kept is not None:
            kept.forget_order()
            self._gate(service, kept)

    def adopt_established(self, versions: Mapping[str, Iterable[str]]) -> None:
        """Take what another node holds for established, where this one does not know better."""
        for service, names in versions.items() if self._active else ():
            kept = self._service(service)
            if not kept.sure:
                kept.established, kept.sure = frozenset(names), True
                self._gate(service, kept)

    def established(self) -> dict[str, tuple[str, ...]]:
        """Return what this node knows to be established, for a node that starts, without guesses."""
        kept = self._services.items()
        return {name: tuple(sorted(each.established)) for name, each in kept if each.sure}

    def retain(self, services: Collection[str]) -> None:
        """Drop what is known of services that are named nowhere any more and have no servers."""
        for name, kept in list(self._services.items()):
            if name not in services and not kept.known and kept.order is None:
                del self._services[name]
                self.gated.discard(name)

    def allowed(self, service: str, new: bool, now: float) -> Versions:
        """Return the versions that may be reached.

        Parameters
        ----------
        service
            One of ``gated``; any server of others may be reached.
        new
            Whether the version that is ordered is asked for, which only a canary call and a service that
            is switched over do; otherwise what serves beside it.
        """
        kept = self._service(service)
        before = kept.established
        versions = kept.allowed(new, now, self._gone_grace_s)
        if kept.established is not before:
            self._gate(service, kept)
        return versions

    def _service(self, name: str) -> "_Service":
        kept = self._services.get(name)
        if kept is None:
            kept = self._services[name] = _Service()
        return kept

    def _gate(self, name: str, kept: "_Service") -> None:
        if kept.open or not kept.known <= kept.established - kept.barred:
            self.gated.add(name)
        else:
            self.gated.discard(name)


class _Service:
    """What is known of one service.

    ``sure``: its established versions are no guess. ``in_place``: its order is one for what served before.
    ``before`` are versions that others took the place of without an order, ``barred`` those that the order
    ended for good: the target that was taken back, or what the target took the place of.
    """

    __slots__ = (
        "barred",
        "before",
        "counts",
        "established",
        "gone_since_s",
        "in_place",
        "known",
        "order",
        "state",
        "sure",
    )

    def __init__(self) -> None:
        self.established = self.before = self.barred = self.known = _NONE
        self.counts: Mapping[str, int] = {}
        self.sure = self.in_place = False
        self.gone_since_s: float | None = None
        self.order: OrderId | None = None
        self.state: RolloutState | None = None

    @property
    def open(self) -> bool:
        """Whether an order stands that may still lead to its target."""
        return self.state is not None and not self.state.final

    @property
    def _target(self) -> Versions:
        return _NONE if self.order is None else frozenset({self.order.target})

    def list(self, counts: Mapping[str, int], known: Versions, now: float) -> None:
        self.counts, self.known = counts, known
        if not self.established:
            self._see_first()
        returned = self.before & frozenset(counts)
        if returned and self.order is None:
            self.established, self.before, self.sure = returned, _NONE, True
        self._gone(self.established, now, 0.0)

    def _see_first(self) -> None:
        """Establish what serves: without an order only the servers themselves show it.

        A node that starts in mid-roll-out takes every version but the target; without an order, the
        version that most servers have, then the lower one, by length first: 9 is lower than 10.
        """
        others = frozenset(self.counts) - self._target
        if others and self.order is not None:
            self.established, self.sure = others, True
        elif others:
            most = min(others, key=lambda each: (-self.counts[each], len(each), each))
            self.established, self.sure = frozenset({most}), len(others) == 1

    def set_state(self, order: OrderId, state: RolloutState) -> None:
        again = self.state is not None and self.state.final and not state.final
        if self.order != order or again:
            self.forget_order()
            self.order = order
            self._begin(state)
        self.state = state
        if state is RolloutState.COMPLETED:
            self.barred = self.established - self._target
            self.established, self.before, self.sure = self._target, _NONE, True
        elif state is RolloutState.ROLLED_BACK and not self.in_place:
            self.barred = self._target

    def _begin(self, state: RolloutState) -> None:
        """Take a new order: what was guessed to serve is every version but its target."""
        target = self._target
        self.in_place = state is RolloutState.ORDERED and self.sure and self.established == target
        if not self.in_place and not (self.sure and self.established - target):
            others = (self.established | self.before | frozenset(self.counts)) - target
            self.established, self.before, self.sure = others, _NONE, bool(others)

    def forget_order(self) -> None:
        self.order = self.state = None
        self.in_place, self.barred = False, _NONE

    def allowed(self, new: bool, now: float, gone_grace_s: float) -> Versions:
        if new:
            given = self.state in (RolloutState.CANARY, RolloutState.SWITCHING)
            return self._target if given else _NONE
        if self.open and not self.in_place:
            old = self.established - self._target
            return old | self._target if self._gone(old, now, gone_grace_s) else old
        self._replace_gone(now, gone_grace_s)
        return self.established - self.barred

    def _gone(self, versions: Versions, now: float, grace_s: float) -> bool:
        """Whether no server of these versions has been listed for a while, or there is no such version."""
        if not versions.isdisjoint(self.counts):
            self.gone_since_s = None
            return False
        if self.gone_since_s is None:
            self.gone_since_s = now
        return not versions or now - self.gone_since_s >= grace_s

    def _replace_gone(self, now: float, grace_s: float) -> None:
        """Let listed versions serve, as a guess, once no server of an established one is left."""
        others = frozenset(self.counts) - self.barred
        if self._gone(self.established - self.barred, now, grace_s) and others:
            self.before, self.established = self.before | self.established, others
            self.sure, self.gone_since_s = False, None
