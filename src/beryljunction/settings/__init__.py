"""Settings: the process files and the fleet-wide settings tree."""

from beryljunction.settings.changes import (
    CHANGES_STREAM,
    SNAPSHOTS_STREAM,
    Accepted,
    Change,
    Conflict,
    Edit,
    Match,
    Read,
    Refused,
    Skipped,
    Verdict,
)
from beryljunction.settings.files import converter, load_file, load_toml, structure
from beryljunction.settings.following import (
    FollowerSettings,
    NoPeers,
    PeerSource,
    SettingsFollower,
)
from beryljunction.settings.paths import FLEET, Path, Scope, parse_path, parse_scope
from beryljunction.settings.peers import SETTINGS_PATH, HttpPeers, serve_settings
from beryljunction.settings.reader import Alarms, AppliedRecord, SettingsState
from beryljunction.settings.resolving import Origin, Resolver, resolve
from beryljunction.settings.rules import FieldRule, problem_of, rule_of
from beryljunction.settings.schema import (
    AccountSettings,
    EntryFile,
    LimitSettings,
    OperatorFile,
    OperatorSettings,
    ProcessSettings,
    ResolvedSettings,
    ServiceSettings,
    SidecarFile,
    TlsSettings,
    WeightSettings,
)
from beryljunction.settings.tree import Leaf, SettingsTree
from beryljunction.settings.validating import edits_between, leaves_of, problems_of, reads_of

__all__ = [
    "SETTINGS_PATH",
    "FollowerSettings",
    "HttpPeers",
    "NoPeers",
    "PeerSource",
    "SettingsFollower",
    "serve_settings",
    "CHANGES_STREAM",
    "FLEET",
    "SNAPSHOTS_STREAM",
    "Accepted",
    "AccountSettings",
    "Alarms",
    "Change",
    "Conflict",
    "Edit",
    "EntryFile",
    "FieldRule",
    "ResolvedSettings",
    "AppliedRecord",
    "Leaf",
    "LimitSettings",
    "Match",
    "OperatorFile",
    "OperatorSettings",
    "Origin",
    "Path",
    "ProcessSettings",
    "Read",
    "Refused",
    "Resolver",
    "Scope",
    "ServiceSettings",
    "SettingsState",
    "SettingsTree",
    "SidecarFile",
    "Skipped",
    "TlsSettings",
    "Verdict",
    "WeightSettings",
    "converter",
    "edits_between",
    "leaves_of",
    "load_file",
    "load_toml",
    "parse_path",
    "parse_scope",
    "problem_of",
    "problems_of",
    "reads_of",
    "resolve",
    "rule_of",
    "structure",
]
