//! A dense map from small `Copy` keys to items.

use std::{collections::HashMap, hash::Hash};

/// Items in contiguous memory, in insertion order and found by key in constant time.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    keys: Vec<K>,
    values: Vec<V>,
    index: HashMap<K, u32>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            keys: Vec::new(),
            values: Vec::new(),
            index: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, V> Arena<K, V> {
    /// Inserts an item; returns the previous item of the key, whose place it takes.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if let Some(&slot) = self.index.get(&key) {
            return Some(std::mem::replace(&mut self.values[slot as usize], value));
        }
        self.index.insert(key, self.values.len() as u32);
        self.keys.push(key);
        self.values.push(value);
        None
    }

    /// Returns the item of a key.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = *self.index.get(&key)?;
        self.values.get(slot as usize)
    }

    /// Returns the item of a key, mutably.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let slot = *self.index.get(&key)?;
        self.values.get_mut(slot as usize)
    }

    /// Returns whether the key has an item.
    pub fn contains(&self, key: K) -> bool {
        self.index.contains_key(&key)
    }

    /// Removes an item in constant time; the last item takes its place in the order.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let slot = self.index.remove(&key)? as usize;
        self.keys.swap_remove(slot);
        let value = self.values.swap_remove(slot);
        if let Some(&moved) = self.keys.get(slot) {
            self.index.insert(moved, slot as u32);
        }
        Some(value)
    }

    /// Iterates over keys and items.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.keys.iter().copied().zip(&self.values)
    }

    /// Iterates over keys and items, the items mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.keys.iter().copied().zip(&mut self.values)
    }

    /// Iterates over the keys.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.keys.iter().copied()
    }

    /// Iterates over the items.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.values.iter()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
