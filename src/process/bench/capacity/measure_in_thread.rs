//! A thread of its own for a measured role, so that its processor time is counted alone.

use {crate::process::bench::BenchError, compio::runtime::Runtime, std::thread};

/// Runs a measurement on a new thread with a runtime of its own.
///
/// # Errors
/// The measurement's error, or [`BenchError::Failed`] when the thread panicked.
pub fn measure_in_thread<F, T>(measurement: F) -> Result<T, BenchError>
where
    F: AsyncFnOnce() -> Result<T, BenchError> + Send + 'static,
    T: Send + 'static,
{
    let measuring = thread::spawn(move || Runtime::new()?.block_on(measurement()));
    let measured = measuring.join();
    measured.unwrap_or_else(|_| Err(BenchError::Failed("the measuring thread panicked".into())))
}
