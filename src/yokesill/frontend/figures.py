"""Updates the gauges of a node for ``/metrics``."""

from yokesill.node import Node


def update_gauges(node: Node) -> None:
    """Set every gauge from the state of the node."""
    gauge = node.metrics.gauge
    services = node.router.services()
    gauge("yokesill_members_serving", "Members that take part", len(node.table.serving()))
    gauge("yokesill_zones_cut", "Zones that cannot be reached", len(node.table.unreachable_zones))
    gauge("yokesill_objects", "Configuration objects known", len(node.replica.state))
    gauge("yokesill_objects_unusable", "Objects that cannot be compiled here", len(node.catalog.unusable))
    gauge("yokesill_watching", "Whether this node watches the store", float(node.watcher.watching))
    gauge("yokesill_isolated", "Whether nobody confirms freshness", float(node.isolated))
    gauge("yokesill_control_bytes_sent", "Bytes sent to peers", node.transport.bytes_sent)
    gauge("yokesill_control_bytes_received", "Bytes received from peers", node.transport.bytes_received)
    gauge("yokesill_frames_rejected", "Frames that failed authentication", node.sealer.rejected)
    gauge("yokesill_frames_malformed", "Authentic frames that could not be read", node.gossip.malformed)
    gauge("yokesill_false_suspicions", "Suspicions that were refuted", node.gossip.detector.false_suspicions)
    gauge("yokesill_syncs", "Bulk synchronisations made", node.sync.syncs)
    gauge("yokesill_queries_in_flight", "Queries without a final answer", node.router.queries_in_flight)
    gauge("yokesill_idempotency_records", "Idempotency records kept", len(node.queries.owned.records))
    gauge("yokesill_first_attempts", "First attempts sent", sum(each.first_attempts for each in services))
    gauge("yokesill_extra_attempts", "Hedges and retries sent", sum(each.extra_attempts for each in services))
