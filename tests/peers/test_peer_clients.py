"""Channels that one thread closes while another is about to use them."""

import grpc
import pytest

from chestnutshunt_daemon import peer_channel
from chestnutshunt_daemon import peer_clients
from chestnutshunt_daemon.wire import fleet_pb2
from chestnutshunt_daemon.wire import fleet_pb2_grpc
from chestnutshunt_daemon.wire import peer_pb2
from chestnutshunt_standins import cluster


def test_a_call_on_a_channel_that_was_closed_fails_as_any_other():
    """This error ended the thread that makes the steps of a run.

    It occurs if a thread drops a channel before another calls through a stub
    of it.
    """
    clients = peer_clients.PeerClients()
    address = cluster.free_address()
    stub = clients.stub(address)
    clients.drop(address)
    message = peer_pb2.TallyRequest(oldest_window=0)
    with pytest.raises(grpc.RpcError) as caught:
        stub.GetTallies(message, timeout=0.1)
    assert isinstance(caught.value, peer_channel.ChannelClosed)
    assert caught.value.code() is grpc.StatusCode.UNAVAILABLE
    with pytest.raises(peer_channel.ChannelClosed):
        stub.GetTallies.future(message, timeout=0.1)
    with pytest.raises(peer_channel.ChannelClosed):
        stub.Pull(peer_pb2.PullRequest(), timeout=0.1)


def test_the_next_stub_has_a_channel_of_its_own():
    clients = peer_clients.PeerClients(fleet_pb2_grpc.FleetStub)
    address = cluster.free_address()
    clients.stub(address)
    clients.drop(address)
    with pytest.raises(grpc.RpcError) as caught:
        clients.stub(address).EndJob(fleet_pb2.EndRequest(), timeout=0.1)
    assert not isinstance(caught.value, peer_channel.ChannelClosed)
    clients.close()
