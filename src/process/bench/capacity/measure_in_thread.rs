//! Runs a measured role in a separate thread, so that only its own processor time is counted.

use {crate::process::bench::BenchError, compio::runtime::Runtime, std::thread};

/// Runs a measurement to its end in a new thread with its own runtime, and returns its result.
///
/// # Errors
/// The measurement's error, or [`BenchError::Failed`] when the thread panicked.
pub fn measure_in_thread<F, T>(measurement: F) -> Result<T, BenchError>
where
    F: AsyncFnOnce() -> Result<T, BenchError> + Send + 'static,
    T: Send + 'static,
{
    let handle = thread::spawn(move || Runtime::new()?.block_on(measurement()));
    let result = handle.join();
    result.unwrap_or_else(|_| Err(BenchError::Failed("the measuring thread panicked".into())))
}
