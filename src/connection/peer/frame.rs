//! The framing of the peer protocol: one version byte, a four-byte little-endian length, then a
//! postcard message.

use {
    crate::{
        connection::Transfer,
        process::limits::{BodyError, BodySlot, PortLimiter},
        version::MAX_PAYLOAD_BYTES,
    },
    compio::{
        BufResult,
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    },
    derive_more::{Display, Error, From},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{io, rc::Rc},
};

/// The protocol version in each frame header.
const PROTOCOL_VERSION: u8 = 1;

/// The limit on the part of a message other than its payload, in bytes.
const MAX_ENVELOPE_BYTES: usize = 64 << 10;

/// The limit on the encoded message of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = MAX_PAYLOAD_BYTES as usize + MAX_ENVELOPE_BYTES;

/// The size of the parts in which a limited frame is read, in bytes. What has not arrived yet takes no
/// more memory than this.
const PART_BYTES: usize = 16 << 10;

/// The length of a frame header, in bytes.
const HEADER_BYTES: usize = 5;

/// An error of reading or writing a frame.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The connection failed or was closed by the peer.
    #[display("the connection failed: {_0}")]
    Io(io::Error),
    /// The message could not be decoded or encoded.
    #[display("malformed message: {_0}")]
    Malformed(postcard::Error),
    /// The frame has this unsupported protocol version.
    #[display("protocol version {_0} is not supported")]
    #[from(skip)]
    Version(#[error(not(source))] u8),
    /// The message of the frame has this length in bytes, which exceeds the limit.
    #[display("a frame of {_0} bytes is above the limit of {MAX_FRAME_BYTES}")]
    #[from(skip)]
    TooLarge(#[error(not(source))] usize),
    /// The frame was aborted because a limit was reached.
    #[display("the frame was aborted: {_0}")]
    Aborted(BodyError),
}

impl FrameError {
    /// Returns whether the peer closed the connection, between frames or within one.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == io::ErrorKind::UnexpectedEof)
    }

    /// Returns whether a frame violates the protocol, as opposed to an I/O error.
    pub fn is_protocol_violation(&self) -> bool {
        !matches!(self, Self::Io(_) | Self::Aborted(_))
    }
}

/// Reads one frame and decodes its message.
///
/// # Errors
/// Returns [`FrameError`] when the connection fails or the frame violates the protocol.
pub async fn read_frame<R, T>(stream: &mut R) -> Result<T, FrameError>
where
    R: AsyncRead,
    T: DeserializeOwned,
{
    read_frame_in_parts(stream, &Transfer::default()).await
}

/// Reads one frame whose bytes count in `transfer` as they arrive.
///
/// # Errors
/// Returns [`FrameError`] when the connection fails or the frame violates the protocol.
pub async fn read_frame_in_parts<R, T>(
    stream: &mut R,
    transfer: &Transfer<'_>,
) -> Result<T, FrameError>
where
    R: AsyncRead,
    T: DeserializeOwned,
{
    let len = read_header(stream).await?;
    transfer.add(HEADER_BYTES);
    let mut content = Vec::new();
    while content.len() < len {
        let room = (len - content.len()).min(PART_BYTES);
        let BufResult(read, part) = stream.read(Vec::with_capacity(room)).await;
        if read? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        transfer.add(part.len());
        content.extend_from_slice(&part);
    }
    Ok(postcard::from_bytes(&content)?)
}

/// Reads one frame whose bytes count in `limiter` until its message is decoded.
///
/// # Errors
/// Returns [`FrameError`] when the connection fails, the frame violates the protocol, or it is aborted
/// because a limit is reached.
pub async fn read_limited_frame<R, T>(
    stream: &mut R,
    limiter: &Rc<PortLimiter>,
) -> Result<T, FrameError>
where
    R: AsyncRead,
    T: DeserializeOwned,
{
    let len = read_header(stream).await?;
    let slot = limiter.admit_body(len);
    let reading = read_parts(stream, len, &slot);
    let aborted = slot.wait_for_abort();
    pin_mut!(reading, aborted);
    match select(aborted, reading).await {
        Either::Left(_) => Err(BodyError::Aborted.into()),
        Either::Right((content, _)) => Ok(postcard::from_bytes(&content?)?),
    }
}

async fn read_parts<R>(
    stream: &mut R,
    len: usize,
    slot: &BodySlot,
) -> Result<bytes::Bytes, FrameError>
where
    R: AsyncRead,
{
    let mut missing = len;
    while missing > 0 {
        let part = read_exact(stream, missing.min(PART_BYTES)).await?;
        slot.push(&part)?;
        missing -= part.len();
    }
    Ok(slot.complete()?)
}

/// Reads the header of a frame and returns the length of its content.
async fn read_header<R>(stream: &mut R) -> Result<usize, FrameError>
where
    R: AsyncRead,
{
    let header = read_exact(stream, HEADER_BYTES).await?;
    if header[0] != PROTOCOL_VERSION {
        return Err(FrameError::Version(header[0]));
    }
    let len = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    Ok(len)
}

/// Encodes a message, writes it as one frame and returns the frame's length in bytes.
///
/// # Errors
/// Returns [`FrameError`] when the connection fails, or the message cannot be encoded or exceeds
/// the limit.
pub async fn write_frame<T, W>(
    stream: &mut W,
    message: &T,
) -> Result<usize, FrameError>
where
    T: Serialize,
    W: AsyncWrite,
{
    let mut frame = vec![0; HEADER_BYTES];
    frame[0] = PROTOCOL_VERSION;
    let mut frame = postcard::to_extend(message, frame)?;
    let len = frame.len() - HEADER_BYTES;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    let length_bytes = u32::try_from(len).unwrap_or(u32::MAX).to_le_bytes();
    frame[1..HEADER_BYTES].copy_from_slice(&length_bytes);
    let frame_len = frame.len();
    stream.write_all(frame).await.0?;
    Ok(frame_len)
}

async fn read_exact<R>(
    stream: &mut R,
    len: usize,
) -> Result<Vec<u8>, FrameError>
where
    R: AsyncRead,
{
    let result = stream.read_exact(vec![0; len]).await;
    result.0?;
    Ok(result.1)
}
