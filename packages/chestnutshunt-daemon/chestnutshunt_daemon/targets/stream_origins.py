"""Finds out which software version began a stream that a caller takes up."""

from collections.abc import Callable
import logging
import threading

from chestnutshunt.deployment import route
from chestnutshunt import errors
from chestnutshunt.replicas import replica_view
from chestnutshunt.streams import origin_table
from chestnutshunt.streams import software_history
from chestnutshunt.streams import stream_origin
from chestnutshunt_daemon.targets import stream_position

__all__ = ['StreamOrigins']

LOG = logging.getLogger(__name__)

FindOrigin = Callable[[str], stream_origin.StreamOrigin | None]


class StreamOrigins:
    """Origins of streams, as far as this daemon and its peers know them.

    Parameters
    ----------
    view : ReplicaView
        The registered targets.
    table : OriginTable
        Origins known here.
    history : SoftwareHistory
        Software versions that targets have run lately.

    Attributes
    ----------
    publish : callable
        Passes the request id and origin of a new stream on to peers.
    publish_at_once : callable
        Does that before it returns.
    find_elsewhere : callable
        Returns an origin that peers know; raises `NotReady` if too few of
        them could be asked.
    find_recorded : callable
        Returns an origin that was recorded in the store.
    has_record : callable
        Returns whether the versions of some services that were in use before
        this daemon started are known.
    """

    def __init__(
        self,
        view: replica_view.ReplicaView,
        table: origin_table.OriginTable,
        history: software_history.SoftwareHistory,
    ) -> None:
        self.view = view
        self.table = table
        self.history = history
        self.lock = threading.Lock()
        self.publish: Callable[[str, stream_origin.StreamOrigin], None] = (
            lambda request_id, origin: None
        )
        self.publish_at_once = self.publish
        self.find_elsewhere: FindOrigin = lambda request_id: None
        self.find_recorded: FindOrigin = lambda request_id: None
        self.has_record: Callable[[list[str]], bool] = lambda services: False
        view.mirror.listeners.append(self.observe)

    def observe(self) -> None:
        """Record the origins of the registered targets.

        Several threads may call this at once, each after another change.
        """
        with self.lock:
            self.history.observe(
                target.origin for target in list(self.view.replicas.values())
            )

    def begin(
        self, request_id: str, origin: stream_origin.StreamOrigin
    ) -> None:
        """Record the origin of a stream of which the first event came.

        A daemon that does not know the origin yet must hear of the stream
        before its caller can take it up there.
        """
        self.table.record(request_id, origin)
        if self.history.is_settled(origin):
            self.publish(request_id, origin)
        else:
            self.publish_at_once(request_id, origin)

    def renew(
        self, request_id: str, origin: stream_origin.StreamOrigin
    ) -> None:
        """Record that a stream of this origin still runs, here and at peers.

        A peer may have restarted meanwhile, or have become the one to ask.
        """
        self.table.record(request_id, origin)
        self.publish(request_id, origin)

    def find(
        self, position: stream_position.StreamPosition, route: route.Route
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it is in doubt."""
        services = [item.service for item in route.destinations]
        source = 'table'
        in_doubt = False
        origin = self.table.find(position.begun_by)
        if origin is None:
            source = 'peer'
            if position.begun_by:
                try:
                    origin = self.find_elsewhere(position.begun_by)
                except errors.NotReady:
                    in_doubt = True
        if origin is None and not in_doubt:
            source = 'only version'
            origin = self.only_origin(services)
        if origin is None and position.begun_by:
            source = 'store'
            origin = self.find_recorded(position.begun_by)
            if origin is not None:
                # The hubs that kept it have lost it.
                self.publish(position.begun_by, origin)
        if origin is not None and position.begun_by:
            self.table.record(position.begun_by, origin)
        LOG.info(
            'Stream taken up',
            extra={
                'begun_by': position.begun_by,
                'after': position.last_event,
                'source': source if origin else 'unknown',
                'in_doubt': in_doubt,
                'software': origin.software if origin else None,
                'recent': sorted(
                    x.software for x in self.history.recent(services)
                ),
                'targets_age_s': round(self.view.mirror.age_s, 3),
            },
        )
        if origin is not None and origin.service not in services:
            return None
        return origin

    def only_origin(
        self, services: list[str]
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of all streams of services if there is just one.

        That is known only if the registrations are recent, and if this
        daemon has run for long or has read which versions were in service.
        """
        if (
            self.view.mirror.age_s > software_history.MAX_REGISTRATION_AGE_S
            or not (
                self.history.covers_all_streams() or self.has_record(services)
            )
        ):
            return None
        recent = self.history.recent(services)
        return recent.pop() if len(recent) == 1 else None
