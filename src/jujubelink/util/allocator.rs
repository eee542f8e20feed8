//! Parameters of the C library's allocator.

/// Size from which a buffer is mapped on its own, so that its memory returns to the machine when it is freed.
/// Bodies of ordinary requests are smaller.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_BYTES: i32 = 128 * 1024;

/// `M_MMAP_THRESHOLD` of `malloc.h`.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const M_MMAP_THRESHOLD: i32 = -3;

#[cfg(all(target_os = "linux", target_env = "gnu"))]
unsafe extern "C" {
    safe fn mallopt(parameter: i32, value: i32) -> i32;
}

/// Maps each large buffer on its own, so that its memory returns to the machine when it is freed. By default
/// the threshold rises to the size of the largest freed buffer. Later large buffers then leave gaps in the
/// heap, which stay resident. Returns whether the allocator has such a parameter.
pub fn map_large_buffers() -> bool {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    return mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES) == 1;
    #[cfg(not(all(target_os = "linux", target_env = "gnu")))]
    false
}
