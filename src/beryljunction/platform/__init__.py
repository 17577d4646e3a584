"""Adapter to the users' platform: decodes its formats and names into the project's types."""

from beryljunction.platform.endpoint_report import (
    REPORT_REQUEST,
    check_request,
    decode_report_start,
)
from beryljunction.platform.hostfile import (
    BOUND_PATHS,
    SETTINGS_VARIABLE,
    START_PATHS,
    DeploymentBounds,
    HostSettings,
    format_address,
    parse_address,
    read_host_settings,
)
from beryljunction.platform.positions import era_of
from beryljunction.platform.records import (
    InvalidRecord,
    decode_config,
    decode_endpoint,
    decode_evacuation,
)
from beryljunction.platform.store import (
    ENDPOINT_RECORDS,
    ENTRY_ADDRESSES,
    FLEET_CONFIG,
    FLEET_CONFIG_KEY,
    Expired,
    HttpStore,
    NewestRecords,
    Record,
    Records,
    Store,
    Topic,
    Unavailable,
    WriteOutcome,
    is_storable_key,
)

__all__ = [
    "BOUND_PATHS",
    "DeploymentBounds",
    "ENDPOINT_RECORDS",
    "ENTRY_ADDRESSES",
    "Expired",
    "FLEET_CONFIG",
    "FLEET_CONFIG_KEY",
    "HostSettings",
    "HttpStore",
    "InvalidRecord",
    "NewestRecords",
    "REPORT_REQUEST",
    "Record",
    "Records",
    "SETTINGS_VARIABLE",
    "START_PATHS",
    "Store",
    "Topic",
    "Unavailable",
    "WriteOutcome",
    "check_request",
    "decode_config",
    "decode_endpoint",
    "decode_evacuation",
    "decode_report_start",
    "era_of",
    "format_address",
    "is_storable_key",
    "parse_address",
    "read_host_settings",
]
