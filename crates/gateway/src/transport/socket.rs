//! Options of TCP sockets, and what the kernel tells of the bytes sent on them.

use {
    balance::slow_reader::{Delivery, GONE_AFTER},
    socket2::{SockRef, TcpKeepalive},
    std::{io, mem::MaybeUninit, os::fd::AsRawFd, time::Duration},
    tokio::net::TcpStream,
};

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// A peer that is there but reads slowly is waited for at most this long where nothing else ends it.
const SLOW_READER_TIMEOUT: Duration = Duration::from_mins(1);

/// Disables Nagle's algorithm and enables keepalive probes and the TCP user timeout.
///
/// Nothing else detects a peer that has stopped responding without closing its connection.
pub(super) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)?;
    tolerate_slow_reader(stream, false)
}

/// Sets after which time the kernel closes a connection whose sent data stays unacknowledged. It also
/// counts the time for which the window of the peer is closed, whether the peer answers or not, so that it
/// is long for a peer that is known to be there.
pub(super) fn tolerate_slow_reader(stream: &TcpStream, is_tolerated: bool) -> io::Result<()> {
    let timeout = if is_tolerated {
        SLOW_READER_TIMEOUT
    } else {
        GONE_AFTER
    };
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Returns what the kernel knows of the bytes that were sent.
///
/// # Errors
/// The error of the kernel, also if it is too old to tell.
pub(super) fn read_delivery(stream: &TcpStream) -> io::Result<Delivery> {
    let info = read_tcp_info(stream)?;
    Ok(Delivery {
        unsent_bytes: info.tcpi_notsent_bytes.into(),
        acknowledged_bytes: info.tcpi_bytes_acked,
        awaits_acknowledgement: info.tcpi_unacked > 0 || info.tcpi_probes > 0,
        since_acknowledgement: Duration::from_millis(info.tcpi_last_ack_recv.into()),
    })
}

#[expect(
    unsafe_code,
    reason = "no library in use has a safe function that reads TCP_INFO"
)]
fn read_tcp_info(stream: &TcpStream) -> io::Result<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let expected_bytes = size_of::<libc::tcp_info>();
    let mut bytes = libc::socklen_t::try_from(expected_bytes).unwrap_or(0);
    // SAFETY: the kernel writes at most `bytes` bytes, the size of `info`, and the descriptor is open
    // as long as `stream` is borrowed.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut bytes,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    let needed_bytes = std::mem::offset_of!(libc::tcp_info, tcpi_notsent_bytes) + size_of::<u32>();
    if usize::try_from(bytes).unwrap_or(0) < needed_bytes {
        return Err(io::ErrorKind::Unsupported.into());
    }
    // SAFETY: all fields are integers, for which zero is valid, and the kernel wrote the others.
    Ok(unsafe { info.assume_init() })
}
