"""gRPC channels to other daemons, one per address."""

from collections.abc import Callable
import threading
from typing import Any

import grpc

from chestnutshunt_daemon import peer_channel
from chestnutshunt_daemon.wire import peer_pb2_grpc

__all__ = ['CHANNEL_OPTIONS', 'PeerClients']

MAX_MESSAGE_BYTES = 4_194_304

CHANNEL_OPTIONS = (
    ('grpc.keepalive_time_ms', 3000),
    ('grpc.keepalive_timeout_ms', 1500),
    ('grpc.keepalive_permit_without_calls', 0),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
)


class PeerClients:
    """Creates channels on first use and closes them together.

    All methods may be called from several threads.

    Parameters
    ----------
    make_stub : callable
        Generated stub class of the protocol.
    """

    def __init__(
        self,
        make_stub: Callable[
            [peer_channel.PeerChannel], Any
        ] = peer_pb2_grpc.PeerStub,
    ) -> None:
        self.make_stub = make_stub
        self.channels: dict[str, peer_channel.PeerChannel] = {}
        self.lock = threading.Lock()

    def stub(self, address: str) -> Any:
        """Return a stub for the daemon at an address."""
        with self.lock:
            if address not in self.channels:
                self.channels[address] = peer_channel.PeerChannel(
                    grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
                )
            return self.make_stub(self.channels[address])

    def drop(self, address: str) -> None:
        """Close the channel to an address and cancel its calls."""
        with self.lock:
            channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def keep_only(self, addresses: set[str]) -> None:
        """Close the channels to all other addresses."""
        for address in set(self.channels) - addresses:
            self.drop(address)

    def close(self) -> None:
        """Close all channels."""
        for address in list(self.channels):
            self.drop(address)
