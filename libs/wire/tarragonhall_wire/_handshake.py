"""The mutual authentication with which every link starts.

Both ends know the shared secret; neither sends it. Each end draws a nonce and proves that it knows
the secret by an HMAC over both nonces and both identities. The peer's fresh nonce in the proof
prevents replay; the direction prevents that a peer's own proof is reflected to it.
"""

from __future__ import annotations

import hmac
import secrets
from collections.abc import Callable

from tarragonhall_model import CodecError, LinkError, decode, encode, record

PROTOCOL_VERSION = 2
NONCE_BYTES = 32
CLIENT = b"client"
SERVER = b"server"


class HandshakeError(LinkError):
    """The peer failed to authenticate, or uses another protocol version."""


@record
class Peer:
    """The identity of a process at one end of a link."""

    instance: str
    incarnation: str
    address: str = ""
    availability_zone: str = ""


@record
class Hello:
    """First message in each direction."""

    version: int
    nonce: bytes
    peer: Peer


@record
class Proof:
    """Second message in each direction."""

    mac: bytes


def _mac(secret: bytes, direction: bytes, client: Hello, server: Hello) -> bytes:
    content = b"".join((direction, encode(client), encode(server)))
    return hmac.digest(secret, content, "sha256")


def _expect(data: object, kind: type) -> object:
    if not isinstance(data, bytes):
        raise HandshakeError("expected a binary message")
    try:
        message = decode(data)
    except CodecError as error:
        raise HandshakeError(str(error)) from error
    if not isinstance(message, kind):
        raise HandshakeError(f"expected {kind.__name__}, got {type(message).__name__}")
    return message


def _check_version(hello: Hello) -> None:
    if hello.version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"{hello.peer.instance} speaks version {hello.version}, this is {PROTOCOL_VERSION}"
        )


def client_handshake(send: Callable, receive: Callable, secret: bytes, local_peer: Peer) -> Peer:
    """Run the client side; return the authenticated server."""
    own_hello = Hello(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES), local_peer)
    send(encode(own_hello))
    peer_hello = _expect(receive(), Hello)
    _check_version(peer_hello)
    proof = _expect(receive(), Proof)
    if not hmac.compare_digest(proof.mac, _mac(secret, SERVER, own_hello, peer_hello)):
        raise HandshakeError(f"{peer_hello.peer.instance} does not know the link secret")
    send(encode(Proof(_mac(secret, CLIENT, own_hello, peer_hello))))
    return peer_hello.peer


def server_handshake(send: Callable, receive: Callable, secret: bytes, local_peer: Peer) -> Peer:
    """Run the server side; return the authenticated client."""
    peer_hello = _expect(receive(), Hello)
    _check_version(peer_hello)
    own_hello = Hello(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES), local_peer)
    send(encode(own_hello))
    send(encode(Proof(_mac(secret, SERVER, peer_hello, own_hello))))
    proof = _expect(receive(), Proof)
    if not hmac.compare_digest(proof.mac, _mac(secret, CLIENT, peer_hello, own_hello)):
        raise HandshakeError(f"{peer_hello.peer.instance} does not know the link secret")
    return peer_hello.peer
