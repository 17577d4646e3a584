"""All settings with their types and defaults.

There are two kinds: a process file, read at startup, has the addresses and identity of one process;
the settings tree, read from the platform's log, controls the behaviour of the whole fleet.
"""

import attrs

__all__ = [
    "AccountSettings",
    "EntryFile",
    "LimitSettings",
    "OperatorFile",
    "OperatorSettings",
    "ProcessSettings",
    "ResolvedSettings",
    "ServiceSettings",
    "SidecarFile",
    "TlsSettings",
    "WeightSettings",
]


@attrs.frozen
class TlsSettings:
    """Certificates of a listener; the files are reloaded when they change."""

    certificate_path: str
    key_path: str
    authority_path: str | None = None


@attrs.frozen
class ProcessSettings:
    """Identity and addresses of one process.

    Attributes:
        host: Name of the host, unique in the fleet.
        listen: IP address and port for requests.
        operator_listen: IP address and port for metrics, health and the timeline.
        fleet_key: Secret with which the fleet's processes authenticate to each other.
        log_address: Base URL of the platform's log service.
        hosts_address: Base URL of the platform's host list.
        log_sample_ratio: Share of requests whose ordinary events are logged.
        operator_keys_sha256: SHA-256 of the keys that the operator listener accepts, two during a
            key rotation. Without any it must listen on a loopback address.
        log_retention_s: How long the log service keeps records; sets the interval of snapshots
            and limits the lifetime of idempotency keys.
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
    fleet: "ResolvedSettings | None" = None


@attrs.frozen
class SidecarFile:
    """The process file of a sidecar.

    Attributes:
        endpoint_id: Name of the endpoint that the sidecar serves.
        endpoint_address: Base URL of the endpoint.
        fleet: Settings to start with, until those on the platform's log are read.
    """

    process: ProcessSettings
    endpoint_id: str
    service: str
    endpoint_address: str
    fleet: "ResolvedSettings | None" = None


@attrs.frozen
class OperatorFile:
    """The file of an operator's program.

    Attributes:
        operator: Name of the operator, as in the tree.
        key: The operator's secret; the tree holds its SHA-256.
        log_address: Base URL of the platform's log service.
        region: Region that values are shown for when a path names none.
        nodes: Addresses ("ip:port") of processes that are asked for the settings in force there.
        fleet_key: Secret that the fleet's processes require.
        hosts_address: Base URL of the platform's host list.
        operator_key: Key that operator listeners require.
        authority_path: CA certificate that signed the fleet's certificates; empty without TLS.
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
    """Limits on requests, responses and stored responses.

    Attributes:
        request_s: Longest wait for an endpoint's response that is not streamed.
        connections: Requests that an entry serves concurrently.
        body_s: Longest time in which a caller may send the body of a request.
        upload_bytes: Total size of the request bodies that one entry is receiving.
        answer_bytes: Largest response that is not streamed.
        kept_total_bytes: Total size of the completed responses that a sidecar keeps for resumes.
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
    """Routing settings of one service.

    Attributes:
        kind: "engine" for a model engine, "plain" for any other service.
        models: Model names that callers may ask for; engines only.
        load_multiple: Largest load of one endpoint, as a multiple of the service's mean load.
        idempotent: Whether a POST without ticket or idempotency key may be retried after a failure.
        deadline_s: Longest wait for the start of a request if the caller sends no deadline.
        heartbeat_s: Longest silence on an open stream between the fleet's processes.
        silence_s: Silence after which a stream is resumed on a new connection.
        resume_s: Time for which a stream without a reader is kept for a resume.
        pointer_s: Lifetime of a chat pointer.
        model_version: Version of the models that every engine of the service must have loaded.
        adapters: Adapters that every engine must have loaded.
        role: Phases that the engines run: "both", "prefill" or "decode".
        min_serving: Number of engines that keep serving while others load a model.
        engine_silence_s: Silence of an engine's open stream after which it is resumed.
        kept_bytes: Size of the frames of one stream that are kept for a resume.
        priority: Priority that the engine gets with a request; of the requests that wait there,
            the one with the highest priority runs first.
        handover_s: Longest time by which a handover of cached prefixes may delay a stop; 0 turns
            handovers off.
        handover_bytes: Largest size of the cache that a draining engine hands over.
        kv_token_bytes: Size of the KV cache of one token.
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
    """One client account; its API key is stored only as SHA-256."""

    key_sha256: str
    weight: float = 1.0


@attrs.frozen
class WeightSettings:
    """Limits on model loads from the weight store.

    Attributes:
        parallel_loads: Largest number of concurrent loads in the whole fleet.
        load_s: Longest expected time of one load.
    """

    parallel_loads: int = 8
    load_s: float = 600.0


@attrs.frozen
class OperatorSettings:
    """One operator; the key is stored only as SHA-256.

    Attributes:
        may_change: Scopes whose settings the operator may change; "fleet" is everything.
    """

    key_sha256: str
    may_change: tuple[str, ...] = ()


@attrs.frozen
class ResolvedSettings:
    """The resolved and validated settings of one version, as a process uses them."""

    version: int = 0
    services: dict[str, ServiceSettings] = attrs.field(factory=dict)
    accounts: dict[str, AccountSettings] = attrs.field(factory=dict)
    limits: LimitSettings = LimitSettings()
    weights: WeightSettings = WeightSettings()
    account_services: dict[tuple[str, str], ServiceSettings] = attrs.field(factory=dict)

    def service_for(self, service: str, account: str) -> ServiceSettings:
        """Return the settings of a service for one client account."""
        own = self.account_services.get((account, service))
        return own if own is not None else self.services[service]

    def service_of_model(self, model: str) -> str | None:
        """Return the name of the service that serves a model."""
        for name, service in self.services.items():
            if model in service.models:
                return name
        return None
