"""Keeps this daemon's parts of the workspaces' limits."""

from collections.abc import Iterator
import contextlib
import logging
import threading

from chestnutshunt.admission import grant
from chestnutshunt.admission import share
from chestnutshunt.admission import share_keeper
from chestnutshunt.admission import share_record
from chestnutshunt.config import workspace_settings
from chestnutshunt_daemon import node

__all__ = ['WorkspaceLimiter', 'limit_of']

LOG = logging.getLogger(__name__)

ADJUST_PERIOD = 1.0


class WorkspaceLimiter:
    """Admits requests within this daemon's parts, and adjusts the parts.

    Parameters
    ----------
    state : Node
        The daemon.
    """

    def __init__(self, state: node.Node) -> None:
        self.state = state
        self.share_limiters: dict[str, share_keeper.ShareKeeper] = {}
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def admit(
        self, given: grant.Grant, tokens: float
    ) -> Iterator['Reservation']:
        """Hold a place within the workspace's limits.

        Parameters
        ----------
        given : Grant
            Whose request it is.
        tokens : float
            Tokens it may make; what it did not make is given back.

        Raises
        ------
        LimitReached
            The request was not run.
        """
        reservation = Reservation(tokens)
        if not is_limited(given.settings):
            yield reservation
            return
        keeper = self.limiter_of(given.workspace)
        if not keeper.holding.requests and not keeper.holding.concurrency:
            self.request_initial_share(keeper, given)
        keeper.acquire(tokens)
        try:
            yield reservation
        finally:
            keeper.release(tokens - reservation.used_tokens)

    def limiter_of(self, workspace: str) -> share_keeper.ShareKeeper:
        """Return the keeper of a workspace, made when first asked for."""
        with self.lock:
            if workspace not in self.share_limiters:
                self.share_limiters[workspace] = share_keeper.ShareKeeper(
                    self.state.store,
                    self.state.clock,
                    workspace,
                    self.state.own.owner,
                )
            return self.share_limiters[workspace]

    def request_initial_share(
        self, keeper: share_keeper.ShareKeeper, given: grant.Grant
    ) -> None:
        """Ask for a part before the first request, rather than refuse it."""
        with self.lock:
            if keeper.demand.concurrency:
                return
            keeper.demand = share.Share(1.0, 1.0, 1.0)
        self.adjust(keeper, limit_of(given.settings))

    def run(self) -> None:
        """Adjust the parts until the daemon stops."""
        while not self.state.stopped.wait(ADJUST_PERIOD):
            held = self.state.current_tree()
            for keeper in list(self.share_limiters.values()):
                path = f'workspaces/{keeper.workspace}'
                if path not in held.nodes:
                    continue
                keeper.measure()
                self.adjust(keeper, limit_of(held.settings(path)))

    def adjust(
        self, keeper: share_keeper.ShareKeeper, limit: share.Share
    ) -> None:
        """Adjust one part."""
        seen = self.state.mirror.get(share_record.SHARE_KIND, keeper.workspace)
        holders = set(keeper.record.holdings)
        keeper.adjust(seen, limit, self.state.ended_owners(holders))


class Reservation:
    """Tokens that a request may make, and those it made."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.used_tokens = 0.0


def is_limited(settings: workspace_settings.WorkspaceSettings) -> bool:
    """Tell whether a workspace has any limit."""
    limit = limit_of(settings)
    return bool(limit.requests or limit.tokens or limit.concurrency)


def limit_of(settings: workspace_settings.WorkspaceSettings) -> share.Share:
    """Return the limits of a workspace."""
    return share.Share(
        settings.requests_per_s,
        settings.tokens_per_s,
        float(settings.concurrency),
    )
