//! The object store port.

use crate::Call;

/// Store of named blobs; each is read and written as a whole.
#[derive(Clone)]
pub struct Objects {
    /// Reads the object of this name; returns `None` if it does not exist.
    pub get: Call<String, Option<Vec<u8>>>,
    /// Writes an object (name, content), replacing an existing one.
    pub put: Call<(String, Vec<u8>), ()>,
}
