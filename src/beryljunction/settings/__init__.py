"""Settings: the process files and the fleet-wide settings tree."""

from beryljunction.settings.changes import (
    CHANGES_STREAM,
    SNAPSHOTS_STREAM,
    Accepted,
    Change,
    Conflict,
    Edit,
    Match,
    ReadDependency,
    Refused,
    Skipped,
    Verdict,
)
from beryljunction.settings.files import converter, load_file, load_toml, structure
from beryljunction.settings.follower import (
    FollowerSettings,
    NoPeers,
    PeerSource,
    SettingsFollower,
)
from beryljunction.settings.paths import FLEET, Path, Scope, parse_path, parse_scope
from beryljunction.settings.peers import SETTINGS_PATH, HttpPeers, serve_settings
from beryljunction.settings.resolver import Origin, Resolver, resolve
from beryljunction.settings.rules import FieldRule, rule_of, value_problem
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
from beryljunction.settings.state import Alarms, AppliedRecord, SettingsState
from beryljunction.settings.tree import Leaf, SettingsTree
from beryljunction.settings.validation import (
    dependencies_of,
    edits_between,
    parse_leaves,
    validate_tree,
)

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
    "ReadDependency",
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
    "parse_leaves",
    "load_file",
    "load_toml",
    "parse_path",
    "parse_scope",
    "value_problem",
    "validate_tree",
    "dependencies_of",
    "resolve",
    "rule_of",
    "structure",
]
