//! The object store port.

use crate::Call;

/// Named blobs, written whole and read whole.
#[derive(Clone)]
pub struct Objects {
    /// Reads an object; none when there is none of that name.
    pub get: Call<String, Option<Vec<u8>>>,
    /// Writes an object over what was there.
    pub put: Call<(String, Vec<u8>), ()>,
}
