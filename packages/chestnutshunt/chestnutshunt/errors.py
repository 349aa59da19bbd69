"""Error types, each with an HTTP status and a remedy."""

from chestnutshunt.attempts import progress

__all__ = [
    'AdapterMissing',
    'BadRequest',
    'BadSetting',
    'ChestnutshuntError',
    'ConfigConflict',
    'Conflict',
    'CutOff',
    'DeadlineTooShort',
    'Draining',
    'Forbidden',
    'HistoryLost',
    'LedgerUnavailable',
    'LimitReached',
    'NotHolder',
    'NotReady',
    'NoTarget',
    'OutcomeUnknown',
    'PlatformUnavailable',
    'PlatformUncertain',
    'Quarantined',
    'QueueFull',
    'RetryBudgetSpent',
    'RouteUnknown',
    'TargetFailed',
    'Truncated',
    'Unauthorized',
]


class ChestnutshuntError(Exception):
    """Base class of the errors that the project raises.

    Attributes
    ----------
    kind : str
        Stable name of the error, also used as a metric label.
    status : int
        HTTP status sent to the caller.
    remedy : str
        What the caller or operator can do about it.
    retry_after_s : float or None
        Seconds to wait before a retry, when known.
    progress : Progress or None
        How far the request had got, if the error is a response to one.
    """

    kind = 'internal'
    status = 500
    remedy = 'Report this with the request id and the daemon log.'

    def __init__(
        self,
        message: str,
        remedy: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        if remedy is not None:
            self.remedy = remedy
        self.retry_after_s = retry_after_s
        self.progress: progress.Progress | None = None

    def __str__(self) -> str:
        return f'{self.message} {self.remedy}'


class BadRequest(ChestnutshuntError):
    """The caller's request is malformed."""

    kind = 'bad_request'
    status = 400
    remedy = 'Correct the request and send it again.'


class Unauthorized(ChestnutshuntError):
    """The request carries no valid key."""

    kind = 'unauthorized'
    status = 401
    remedy = 'Send a key in force as "Authorization: Bearer KEY".'


class Forbidden(ChestnutshuntError):
    """The key's workspace lacks the permission."""

    kind = 'forbidden'
    status = 403
    remedy = 'Use a key of the workspace that owns the resource.'


class RouteUnknown(ChestnutshuntError):
    """No service or run has this name."""

    kind = 'route_unknown'
    status = 404
    remedy = 'Check the path against "chestnutshunt show".'


class LimitReached(ChestnutshuntError):
    """The workspace is at one of its limits."""

    kind = 'limit_reached'
    status = 429
    remedy = 'Wait for Retry-After, or have the limit raised.'


class QueueFull(ChestnutshuntError):
    """The workspace's queue for this service is full."""

    kind = 'queue_full'
    status = 503
    remedy = 'Wait for Retry-After; add targets if this lasts.'


class DeadlineTooShort(ChestnutshuntError):
    """The request is not expected to finish before its deadline."""

    kind = 'deadline_too_short'
    status = 503
    remedy = 'Allow more time, or send it when load is lower.'


class RetryBudgetSpent(ChestnutshuntError):
    """The retry budget of the workspace and service is exhausted."""

    kind = 'retry_budget_spent'
    status = 503
    remedy = 'Wait for Retry-After; look for failing targets.'


class NoTarget(ChestnutshuntError):
    """No target of the service accepts work."""

    kind = 'no_target'
    status = 503
    remedy = 'Start targets of the service or wait for one.'


class Draining(ChestnutshuntError):
    """The daemon is shutting down and takes no new work."""

    kind = 'draining'
    status = 503
    remedy = 'Send the request again; the balancer has other daemons.'


class OutOfMemory(ChestnutshuntError):
    """The request does not fit beside those that are in process."""

    kind = 'out_of_memory'
    status = 503
    remedy = 'Send it again later, to a larger VM, or in smaller parts.'


class NotReady(ChestnutshuntError):
    """The requested resource does not exist yet."""

    kind = 'not_ready'
    status = 503
    remedy = 'Ask again after Retry-After.'


class Quarantined(ChestnutshuntError):
    """The request crashed several targets and is refused."""

    kind = 'quarantined'
    status = 422
    remedy = 'Change the request; this one has crashed targets.'


class LedgerUnavailable(ChestnutshuntError):
    """A run-once request could not be recorded in the ledger."""

    kind = 'ledger_unavailable'
    status = 503
    remedy = 'Send it again once the platform answers.'


class OutcomeUnknown(ChestnutshuntError):
    """The request may have run, and its answer is lost."""

    kind = 'outcome_unknown'
    status = 504
    remedy = 'Look up its effect in the service before sending a new one.'


class TargetFailed(ChestnutshuntError):
    """Every permitted attempt at a target failed."""

    kind = 'target_failed'
    status = 502
    remedy = 'Send it again if the call may be repeated.'


class Truncated(ChestnutshuntError):
    """The answer ended before it was complete."""

    kind = 'truncated'
    status = 502
    remedy = 'Discard the partial answer and send the request again.'


class AdapterMissing(ChestnutshuntError):
    """No installed package implements the platform's protocol."""

    kind = 'adapter_missing'
    status = 500
    remedy = 'Install the package in the folder platform/.'


class PlatformUnavailable(ChestnutshuntError):
    """The platform did not accept the call; nothing was changed."""

    kind = 'platform_unavailable'
    status = 503
    remedy = 'Check the platform address and try again.'


class PlatformUncertain(ChestnutshuntError):
    """The platform's reply was lost; the change may have been made."""

    kind = 'platform_uncertain'
    status = 503
    remedy = 'Read the object back before writing again.'


class Conflict(ChestnutshuntError):
    """A conditional write found another version of the object."""

    kind = 'conflict'
    status = 409
    remedy = 'Read the object again and repeat the change.'


class CutOff(ChestnutshuntError):
    """The daemon is cut off, and the service is set to refuse then."""

    kind = 'cut_off'
    status = 503
    remedy = 'Send it to another data centre, or set cut_off = "serve".'


class HistoryLost(ChestnutshuntError):
    """The platform has discarded the changes after this revision."""

    kind = 'history_lost'
    status = 410
    remedy = 'List the objects instead.'


class BadSetting(ChestnutshuntError):
    """A setting failed validation.

    Parameters
    ----------
    location : str
        Node path or file that holds the setting.
    name : str
        Name of the setting.
    value : object
        The rejected value.
    reason : str
        Why it was rejected.
    remedy : str
        What to write instead.
    """

    kind = 'bad_setting'
    status = 400

    def __init__(
        self, location: str, name: str, value: object, reason: str, remedy: str
    ) -> None:
        message = f'{location or "/"}: {name} = {value!r}: {reason}.'
        super().__init__(message, remedy)
        self.location = location
        self.name = name
        self.value = value


class ConfigConflict(ChestnutshuntError):
    """The node was changed concurrently by another operator."""

    kind = 'config_conflict'
    status = 409
    remedy = 'Show the node, then repeat the change on what is there now.'


class NotHolder(ChestnutshuntError):
    """The process does not hold the lease that the work requires."""

    kind = 'not_holder'
    status = 503
    remedy = 'Send the request again; another daemon holds the lease.'
