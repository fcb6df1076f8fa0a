"""The mutual proof with which both ends of a link begin.

Both know the shared secret; neither sends it. Each end draws a nonce and proves the secret by an
HMAC over both nonces and both identities. Without the peer's fresh nonce in the proof, a recorded
proof could be sent again; without the direction in it, a peer's own proof could be reflected.
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
    """The peer could not prove the secret, or speaks another protocol version."""


@record
class Peer:
    """Who is at the other end of a link."""

    instance: str
    incarnation: str
    address: str = ""
    availability_zone: str = ""


@record
class Hello:
    """First message each way."""

    version: int
    nonce: bytes
    peer: Peer


@record
class Proof:
    """Second message each way."""

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


def greet(send: Callable, receive: Callable, secret: bytes, me: Peer) -> Peer:
    """Run the client's side; return the proven server."""
    mine = Hello(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES), me)
    send(encode(mine))
    theirs = _expect(receive(), Hello)
    _check_version(theirs)
    proof = _expect(receive(), Proof)
    if not hmac.compare_digest(proof.mac, _mac(secret, SERVER, mine, theirs)):
        raise HandshakeError(f"{theirs.peer.instance} does not know the link secret")
    send(encode(Proof(_mac(secret, CLIENT, mine, theirs))))
    return theirs.peer


def answer_greeting(send: Callable, receive: Callable, secret: bytes, me: Peer) -> Peer:
    """Run the server's side; return the proven client."""
    theirs = _expect(receive(), Hello)
    _check_version(theirs)
    mine = Hello(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES), me)
    send(encode(mine))
    send(encode(Proof(_mac(secret, SERVER, theirs, mine))))
    proof = _expect(receive(), Proof)
    if not hmac.compare_digest(proof.mac, _mac(secret, CLIENT, theirs, mine)):
        raise HandshakeError(f"{theirs.peer.instance} does not know the link secret")
    return theirs.peer
