"""Measures the cost of the quarantine for a node: bytes per record, messages per finding, time per request.

``python bench/quarantine_cost.py [--save]`` measures at the design size: 770 nodes in 7 zones.
"""

import random
import statistics
import sys
import time
import tracemalloc

from results_file import revision, write_results

from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.peers.dissemination import Peer
from yokesill.quarantine.detector import MAX_RECORDS, CrashDetector, Loss, QuarantineStatus
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.quarantine.messages import LossReport, QuarantineFinding

NODES, ZONES, SHARDS = 770, 7, 130
ROUNDS, CALLS = 7, 20_000


def record_bytes() -> float:
    """Return the bytes per record of three lost servers, with the maximum number of records."""
    detector = CrashDetector()
    names = [f"{number:024x}" for number in range(MAX_RECORDS)]
    losses = [Loss(f"i-{number:010x}", f"shard-{number:03d}") for number in range(3)]
    tracemalloc.start()
    for name in names:
        for loss in losses:
            detector.record_loss(name, loss, 0.0)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / MAX_RECORDS


def messages_of(status: QuarantineStatus | None) -> tuple[int, int]:
    """Return the datagrams and bytes that a node sends for a finding, or for the losses of a wide request."""
    peers = [Peer(f"node-{n}", f"10.0.{n % 256}.{n // 256}:7003", f"zone-{n % ZONES}") for n in range(NODES)]
    exchange = QuarantineExchange(peers[0], random.Random(1))
    exchange.set_peers(peers)
    name = "0123456789abcdef01234567"
    if status is None:
        for number in range(SHARDS):
            exchange.report_loss(LossReport(name, Loss(f"i-{number:010x}", f"shard-{number:03d}")))
    else:
        exchange.announce(QuarantineFinding(name, status))
    datagrams = exchange.flush()
    return len(datagrams), sum(len(each.data) for each in datagrams)


def fingerprint_us() -> float:
    """Return the CPU time of a fingerprint in microseconds, the median of ``ROUNDS`` rounds."""
    request = GatewayRequest(
        "k", "id", b"GET", "a.example", "/x", b"/search/crew-7?page=2", (), b"", 0.0, 1.0
    )
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS):
            fingerprint(request)
        rounds.append((time.process_time() - started) / CALLS * 1e6)
    return statistics.median(rounds)


def main() -> None:
    """Measure and print; with ``--save``, write the results."""
    figures = {
        "nodes": NODES,
        "zones": ZONES,
        "shards": SHARDS,
        "record_bytes": round(record_bytes()),
        "most_records": MAX_RECORDS,
        "quarantine_datagrams_and_bytes": messages_of(QuarantineStatus.QUARANTINED),
        "suspicion_datagrams_and_bytes": messages_of(QuarantineStatus.SUSPECTED),
        "losses_datagrams_and_bytes": messages_of(None),
        "fingerprint_us": round(fingerprint_us(), 2),
    }
    print(figures)
    if "--save" in sys.argv:
        write_results("quarantine_cost", {"revision": revision(), **figures})


if __name__ == "__main__":
    main()
