"""What may be set, with type, unit and default.

Two kinds of settings: a process file, read at start-up, says where one process lives; the fleet's
tree says how the whole fleet behaves and comes from the platform's log.
"""

import attrs

__all__ = [
    "AccountSettings",
    "EntryFile",
    "FleetView",
    "LimitSettings",
    "OperatorFile",
    "OperatorSettings",
    "ProcessSettings",
    "ServiceSettings",
    "SidecarFile",
    "TlsSettings",
    "WeightSettings",
]


@attrs.frozen
class TlsSettings:
    """Certificates of a listener; the files are read again when they change."""

    certificate_path: str
    key_path: str
    authority_path: str | None = None


@attrs.frozen
class ProcessSettings:
    """Where one process lives.

    Attributes:
        host: Name of the host, unique in the fleet.
        listen: IP address and port for requests.
        operator_listen: IP address and port for metrics, health and the timeline.
        fleet_key: Secret that the fleet's processes show each other.
        log_address: Base URL of the platform's log service.
        hosts_address: Base URL of the platform's host list.
        log_sample_ratio: Share of requests whose ordinary events are logged.
        operator_keys_sha256: SHA-256 of the keys that the operator listener takes; two while a key
            is being replaced. Without any it listens on a loopback address only.
        log_retention_s: How long the log service keeps records; paces the snapshots and bounds the
            life of idempotency keys.
    """

    host: str
    region: str
    availability_zone: str
    listen: str
    operator_listen: str
    fleet_key: str
    log_address: str
    hosts_address: str
    tls: TlsSettings | None = None
    log_sample_ratio: float = 1.0
    log_retention_s: float = 86_400.0
    operator_keys_sha256: tuple[str, ...] = ()


@attrs.frozen
class EntryFile:
    """The process file of an entry.

    Attributes:
        fleet: Settings to start with, until those on the platform's log are read.
    """

    process: ProcessSettings
    fleet: "FleetView | None" = None


@attrs.frozen
class SidecarFile:
    """The process file of a sidecar.

    Attributes:
        endpoint_id: Name of the endpoint that the sidecar stands beside.
        endpoint_address: Base URL of the endpoint.
        fleet: Settings to start with, until those on the platform's log are read.
    """

    process: ProcessSettings
    endpoint_id: str
    service: str
    endpoint_address: str
    fleet: "FleetView | None" = None


@attrs.frozen
class OperatorFile:
    """The file of an operator's program.

    Attributes:
        operator: Name of the operator, as in the tree.
        key: The operator's secret; the tree holds its SHA-256.
        log_address: Base URL of the platform's log service.
        region: Region that values are shown for when a path names none.
        nodes: Addresses ("ip:port") of nodes that are asked what is in force there.
        fleet_key: Secret that the nodes want to see.
        hosts_address: Base URL of the platform's host list.
        operator_key: Key that operator listeners want to see.
        authority_path: Authority that signed the fleet's certificates; empty without TLS.
    """

    operator: str
    log_address: str
    key: str = ""
    region: str = ""
    nodes: tuple[str, ...] = ()
    fleet_key: str = ""
    hosts_address: str = ""
    operator_key: str = ""
    authority_path: str = ""


@attrs.frozen
class LimitSettings:
    """Limits on what one caller may send, and on what is kept for it.

    Attributes:
        request_s: Longest wait for an endpoint's answer that is not streamed.
        connections: Requests that an entry serves at the same time.
        body_s: Longest time for sending a request's body.
        upload_bytes: Bodies that callers are sending to one entry, all together.
        answer_bytes: Longest answer that is not streamed.
        kept_total_bytes: Ended answers that a sidecar keeps for a resume, all together.
    """

    body_bytes: int = 4_194_304
    header_bytes: int = 16_384
    request_s: float = 600.0
    connections: int = 2_000
    body_s: float = 30.0
    upload_bytes: int = 16_777_216
    answer_bytes: int = 16_777_216
    kept_total_bytes: int = 8_388_608


@attrs.frozen
class ServiceSettings:
    """How one service is routed.

    Attributes:
        kind: "engine" for a model engine, "plain" for any other service.
        models: Model names that callers may ask for; engines only.
        load_multiple: Load that one endpoint may carry as a multiple of the service's mean.
        idempotent: Whether a POST without ticket or key may be run again after a failure.
        deadline_s: Longest wait for a start when the caller names none.
        heartbeat_s: Longest silence on an open stream between our processes.
        silence_s: Silence after which a stream is taken up again on a new connection.
        resume_s: Time that a stream without a reader is kept for a resume.
        pointer_s: Life of a chat pointer.
        model_version: Version of the models that every engine of the service has to hold.
        adapters: Adapters that every engine has to hold.
        role: Part of the work that the engines do: "both", "prefill" or "decode".
        min_serving: Engines of the service that keep serving while others load.
        engine_silence_s: Silence of an engine's open stream after which it is resumed.
        kept_bytes: Frames of one stream that are kept for a resume.
        priority: What the engine is told of a request; of those that wait there the highest runs
            first.
        handover_s: Time that a stop may be held up by handing cached prefixes on; 0 hands on none.
        handover_bytes: Cached state that a leaving engine hands on at the most.
        kv_token_bytes: Cached state of one token.
    """

    kind: str = "engine"
    models: tuple[str, ...] = ()
    load_multiple: float = 1.25
    max_running: int = 32
    floor_running: int = 4
    max_waiting: int = 256
    max_waiting_per_account: int = 64
    quantum_tokens: int = 512
    idempotent: bool = True
    deadline_s: float = 30.0
    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    resume_s: float = 15.0
    pointer_s: float = 14_400.0
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"
    min_serving: int = 1
    engine_silence_s: float = 10.0
    kept_bytes: int = 65_536
    priority: int = 0
    handover_s: float = 10.0
    handover_bytes: int = 68_719_476_736
    kv_token_bytes: int = 131_072


@attrs.frozen
class AccountSettings:
    """One client account; only the SHA-256 of its API key is ever stored."""

    key_sha256: str
    weight: float = 1.0


@attrs.frozen
class WeightSettings:
    """Limits on loads from the weight store.

    Attributes:
        parallel_loads: Loads that the store takes at one time, over the whole fleet.
        load_s: Longest time that one load is expected to take.
    """

    parallel_loads: int = 8
    load_s: float = 600.0


@attrs.frozen
class OperatorSettings:
    """One operator; only the SHA-256 of the key is ever stored.

    Attributes:
        may_change: Scopes whose settings the operator may change; "fleet" is everything.
    """

    key_sha256: str
    may_change: tuple[str, ...] = ()


@attrs.frozen
class FleetView:
    """The settings in force, as a process uses them: resolved, checked, of one version."""

    version: int = 0
    services: dict[str, ServiceSettings] = attrs.field(factory=dict)
    accounts: dict[str, AccountSettings] = attrs.field(factory=dict)
    limits: LimitSettings = LimitSettings()
    weights: WeightSettings = WeightSettings()
    account_services: dict[tuple[str, str], ServiceSettings] = attrs.field(factory=dict)

    def service_for(self, service: str, account: str) -> ServiceSettings:
        """Return the settings of a service as one client account gets them; costs a look-up."""
        own = self.account_services.get((account, service))
        return own if own is not None else self.services[service]

    def service_of_model(self, model: str) -> str | None:
        """Return the name of the service that serves a model."""
        for name, service in self.services.items():
            if model in service.models:
                return name
        return None
