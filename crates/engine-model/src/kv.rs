//! Counts the blocks of KV memory that sequences hold.

/// The engine's KV memory, in blocks.
#[derive(Debug)]
pub(crate) struct KvPool {
    block_tokens: u32,
    blocks: u32,
    used: u32,
}

/// Too few blocks are free.
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

    /// The blocks that `tokens` tokens fill.
    pub(crate) fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Takes blocks until `held` covers `tokens` tokens, or takes none.
    pub(crate) fn grow(&mut self, held: &mut u32, tokens: u32) -> Result<(), KvFull> {
        let missing = self.blocks_for(tokens).saturating_sub(*held);
        if missing > self.blocks - self.used {
            return Err(KvFull);
        }
        self.used += missing;
        *held += missing;
        Ok(())
    }

    /// Gives back all blocks in `held`.
    pub(crate) fn free(&mut self, held: &mut u32) {
        self.used -= *held;
        *held = 0;
    }
}
