"""Names of headers, kinds, paths and environment variables on the platform."""

from yokesill.serving.header_names import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"x-yokesill-request-id",
    deadline=b"x-yokesill-deadline-ms",
    signature=b"x-yokesill-server-stamp",
    expect_instance=b"x-yokesill-expect-instance",
    load=b"x-yokesill-server-load",
    not_executed=b"x-yokesill-not-executed",
    parts=b"x-yokesill-part-stamps",
    missing=b"x-yokesill-missing-parts",
)
READY_PATH = "/readiness"
CONFIGURATION_KIND, CONFIGURATION_NAME = "config", "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
ROLLOUTS_KIND = "rollouts"
NODES_KIND = "yokesill-nodes"
QUARANTINE_KIND = "yokesill-quarantine"
VERSIONS_KIND, VERSIONS_NAME = "yokesill-versions", "established"
# A kind without objects, whose list shows the store's position alone.
POSITION_KIND = "yokesill-position"
# In the store's answers; increases by one each time that the store is restored from an older copy.
TIMELINE_HEADER = b"store-era"
SWITCHED_OFF_VARIABLE = "YOKESILL_SWITCHED_OFF"
SETTINGS_VARIABLE = "YOKESILL_CONFIG"
