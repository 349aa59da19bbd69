"""Applies this daemon's shares of the workspaces' rate limits."""

from collections.abc import Iterator
import contextlib
import logging
import threading

from chestnutshunt.admission import grant
from chestnutshunt.admission import share
from chestnutshunt.admission import share_limiter
from chestnutshunt.admission import share_record
from chestnutshunt.config import workspace_settings
from chestnutshunt_daemon import node

__all__ = ['WorkspaceLimiter', 'limit_of']

LOG = logging.getLogger(__name__)

ADJUST_PERIOD_S = 1.0


class WorkspaceLimiter:
    """Admits requests within this daemon's shares, and adjusts the shares.

    Parameters
    ----------
    state : Node
        State of the daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.share_limiters: dict[str, share_limiter.ShareLimiter] = {}
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def admit(
        self, workspace_grant: grant.Grant, tokens: float
    ) -> Iterator['Reservation']:
        """Hold a reservation within the workspace's limits while in context.

        Parameters
        ----------
        workspace_grant : Grant
            Grant that the request runs under.
        tokens : float
            Most tokens that it may generate; unused ones are refunded.

        Raises
        ------
        LimitReached
            The share is used up; the request was not run.
        """
        reservation = Reservation(tokens)
        if not is_limited(workspace_grant.settings):
            yield reservation
            return
        limiter = self.limiter_of(workspace_grant.workspace)
        if not limiter.holding.requests and not limiter.holding.concurrency:
            self.request_initial_share(limiter, workspace_grant)
        limiter.acquire(tokens)
        try:
            yield reservation
        finally:
            limiter.release(tokens - reservation.used_tokens)

    def limiter_of(self, workspace: str) -> share_limiter.ShareLimiter:
        """Return the share limiter of a workspace, created on first use."""
        with self.lock:
            if workspace not in self.share_limiters:
                self.share_limiters[workspace] = share_limiter.ShareLimiter(
                    self.state.store,
                    self.state.clock,
                    workspace,
                    self.state.own.owner,
                )
            return self.share_limiters[workspace]

    def request_initial_share(
        self, limiter: share_limiter.ShareLimiter, workspace_grant: grant.Grant
    ) -> None:
        """Claim a share, without which the first request is refused."""
        with self.lock:
            if limiter.demand.concurrency:
                return
            limiter.demand = share.Share(1.0, 1.0, 1.0)
        self.adjust(limiter, limit_of(workspace_grant.settings))

    def run(self) -> None:
        """Adjust the shares each period until the daemon stops."""
        while not self.state.stopped.wait(ADJUST_PERIOD_S):
            tree = self.state.current_tree()
            for limiter in list(self.share_limiters.values()):
                path = f'workspaces/{limiter.workspace}'
                if path not in tree.nodes:
                    continue
                limiter.update_demand()
                self.adjust(limiter, limit_of(tree.settings(path)))

    def adjust(
        self, limiter: share_limiter.ShareLimiter, limit: share.Share
    ) -> None:
        """Adjust this daemon's share to its demand and the limit."""
        stored = self.state.mirror.get(
            share_record.SHARE_KIND, limiter.workspace
        )
        holders = set(limiter.record.holdings)
        limiter.adjust(stored, limit, self.state.ended_owners(holders))


class Reservation:
    """Tokens reserved for a request, and those it has used."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.used_tokens = 0.0


def is_limited(settings: workspace_settings.WorkspaceSettings) -> bool:
    """Return whether a workspace has any limit."""
    limit = limit_of(settings)
    return bool(limit.requests or limit.tokens or limit.concurrency)


def limit_of(settings: workspace_settings.WorkspaceSettings) -> share.Share:
    """Return the limits of a workspace as one share."""
    return share.Share(
        settings.requests_per_s,
        settings.tokens_per_s,
        float(settings.concurrency),
    )
