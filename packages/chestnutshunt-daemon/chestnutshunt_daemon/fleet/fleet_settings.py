"""Settings of a daemon that serves from registered targets."""

import attrs

from chestnutshunt_daemon import settings

__all__ = ['FleetSettings']


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
    threads : int
        Callers' requests served concurrently.
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
    threads: int = attrs.field(default=48, validator=settings.at_least(4))
    log_level: str = attrs.field(
        default='INFO',
        validator=settings.one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'),
    )
