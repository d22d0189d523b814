"""Clusters on one machine use separate addresses."""

import socket

import pytest

from rookbend.testing.cluster import address_block
from rookbend.testing.cluster.address_block import AddressBlock, NoFreeAddressBlockError


def test_two_clusters_whose_process_ids_select_one_block_get_different_blocks(monkeypatch):
    # Guards against "Address already in use" when two tests with clusters run at the same time.
    monkeypatch.setattr(address_block.os, "getpid", lambda: 4242)
    first, second = AddressBlock(), AddressBlock()
    assert first.prefix != second.prefix
    freed = first.prefix
    first.release()
    third = AddressBlock()
    assert third.prefix == freed
    second.release()
    third.release()


def test_without_a_free_block_an_error_is_raised(monkeypatch):
    monkeypatch.setattr(address_block, "CLAIM_NAME", f"\0rookbend-test-{id(monkeypatch)}-")
    monkeypatch.setattr(address_block, "BLOCKS", 2)
    blocks = [AddressBlock(), AddressBlock()]
    with pytest.raises(NoFreeAddressBlockError, match="2 blocks"):
        AddressBlock()
    for block in blocks:
        block.release()


def test_every_block_is_in_the_loopback_range():
    assert all(
        socket.inet_aton(f"127.{address_block.FIRST_BLOCK + number}.0.1")[0] == 127
        for number in range(address_block.BLOCKS)
    )
