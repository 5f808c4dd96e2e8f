//! Accounting of the KV memory blocks that sequences hold.

/// The engine's KV memory, in blocks.
#[derive(Debug)]
pub(crate) struct KvPool {
    block_tokens: u32,
    blocks: u32,
    used: u32,
}

/// The error of an allocation that exceeds the free blocks.
#[derive(Debug)]
pub(crate) struct KvFull;

impl KvPool {
    pub(crate) fn new(blocks: u32, block_tokens: u32) -> KvPool {
        KvPool { block_tokens: block_tokens.max(1), blocks, used: 0 }
    }

    pub(crate) fn blocks(&self) -> u32 {
        self.blocks
    }

    pub(crate) fn used(&self) -> u32 {
        self.used
    }

    /// Returns the number of blocks that `tokens` tokens need.
    pub(crate) fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Allocates blocks until `held` covers `tokens` tokens; allocates none on failure.
    pub(crate) fn grow(&mut self, held: &mut u32, tokens: u32) -> Result<(), KvFull> {
        let missing = self.blocks_for(tokens).saturating_sub(*held);
        if missing > self.blocks - self.used {
            return Err(KvFull);
        }
        self.used += missing;
        *held += missing;
        Ok(())
    }

    /// Frees all blocks in `held`.
    pub(crate) fn free(&mut self, held: &mut u32) {
        self.used -= *held;
        *held = 0;
    }
}
