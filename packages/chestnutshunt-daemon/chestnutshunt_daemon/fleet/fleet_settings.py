"""Settings of a daemon that serves from registered targets."""

import attrs

from chestnutshunt_daemon import settings

__all__ = ['FleetSettings']

# Callers' requests that a VM of at least one core, and a smaller one, serves
# concurrently.
THREADS = 48
SMALL_VM_THREADS = 24

# Memory that a daemon needs beside the items that it runs, and for each of
# them with its thread, connection and text.
BASE_MEMORY_MB = 90
ITEM_MEMORY_MB = 0.15

# Least memory for all that callers hold, in MB.
MIN_CLIENT_MEMORY_MB = 10

# Items that a daemon runs concurrently, however small or large its VM.
MIN_RUNNING_ITEMS = 160
MAX_RUNNING_ITEMS = 1500


@attrs.frozen
class FleetSettings:
    """Addresses, location and limits of one daemon.

    Attributes
    ----------
    name : str
        Unique name of the daemon.
    role : str
        ``front`` for a daemon that serves callers, ``disk`` for one on a VM
        that only provides a disk.
    datacentre : str
        Data centre in which the daemon runs.
    regions : dict of str to str
        Region of each data centre.
    caller_address, ready_address, peer_address, metrics_address : str
        ``IP:PORT`` on which the daemon serves callers, readiness checks of
        the load balancer, other daemons and scrapes of metrics.
    store_address, duty_address : str
        ``IP:PORT`` of the platform's store and of its interface for duties.
    revoke_s : float
        Seconds within which a withdrawn key stops working.
    lease_s : float
        Seconds in which the duties may not pass to another daemon and back.
    stop_s : float
        Seconds from SIGTERM until the platform kills the process.
    usage_window_s, usage_late_s : float
        Length of a usage window, and time after its end when its report is
        late, in seconds.
    job_kept_s : float
        Seconds for which the results of an ended job can be read.
    config_s : float
        Seconds within which a change of the configuration takes effect.
    seed_addresses : list of str
        Addresses of daemons of which only the IP is used: a daemon that
        starts asks them for what they know.
    processor_share, processor_count : float
        Share of a core that the VM has, and speed of that core relative to
        others; their product is the capacity of the VM.
    memory_mb : int
        Memory of the VM that the daemon may use, in MB.
    threads : int
        Callers' requests served concurrently; 0 chooses by the capacity.
    first_start : bool
        True only when the whole system starts for the first time.
    log_level : str
        Name of a level of the logging module.
    """

    name: str
    role: str = attrs.field(validator=settings.one_of('front', 'disk'))
    datacentre: str = ''
    regions: dict[str, str] = attrs.field(factory=dict)
    caller_address: str = ''
    ready_address: str = ''
    peer_address: str = ''
    metrics_address: str = ''
    store_address: str = ''
    duty_address: str = ''
    revoke_s: float = 5.0
    lease_s: float = 3.0
    stop_s: float = 8.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    job_kept_s: float = 120.0
    config_s: float = 2.5
    seed_addresses: list[str] = attrs.field(factory=list)
    processor_share: float = 1.0
    processor_count: float = 1.0
    memory_mb: int = attrs.field(default=256, validator=settings.at_least(64))
    threads: int = attrs.field(
        default=0, validator=settings.at_least(4, or_zero=True)
    )
    first_start: bool = False
    log_level: str = attrs.field(
        default='INFO',
        validator=settings.one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'),
    )

    @property
    def capacity(self) -> float:
        """Processor share of the VM, in cores."""
        return round(self.processor_share * self.processor_count, 1)

    @property
    def caller_threads(self) -> int:
        """Callers' requests served concurrently."""
        if self.threads:
            return self.threads
        return THREADS if self.capacity >= 1.0 else SMALL_VM_THREADS

    @property
    def client_memory_bytes(self) -> int:
        """Memory for all that callers hold together."""
        spare_mb = max(self.memory_mb - BASE_MEMORY_MB, MIN_CLIENT_MEMORY_MB)
        return spare_mb * 1_000_000

    @property
    def running_items(self) -> int:
        """Items of jobs that the daemon runs concurrently."""
        fitting = int((self.memory_mb - BASE_MEMORY_MB) / ITEM_MEMORY_MB)
        return min(max(fitting, MIN_RUNNING_ITEMS), MAX_RUNNING_ITEMS)

    @property
    def seeds(self) -> list[str]:
        """``IP:PORT`` of the seeds for calls between daemons.

        All daemons use the same port.
        """
        port = self.peer_address.rpartition(':')[2]
        ips = [seed.rpartition(':')[0] for seed in self.seed_addresses]
        return [f'{ip}:{port}' for ip in ips if ip]

    @property
    def is_seed(self) -> bool:
        """Whether this daemon is one of the seeds."""
        return self.peer_address in self.seeds
