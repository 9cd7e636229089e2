//! A generational arena. Keys are small and `Copy`; a key whose value was removed never finds a
//! later value in the same slot.

use std::{fmt, marker::PhantomData};

/// Identifies one value of an arena.
pub struct Key<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Key<T> {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Key<T>) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Eq for Key<T> {}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}v{}", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Values under keys that stay valid until the value is removed.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Arena<T> {
        Arena { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key { index, generation: slot.generation, kind: PhantomData }
    }

    /// Removes a value. `None` if it was removed before; the key finds nothing afterwards.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation += 1;
        self.free.push(key.index);
        Some(value)
    }

    /// The value of a key; `None` if it was removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        slot.value.as_ref().filter(|_| slot.generation == key.generation)
    }

    /// The value of a key, mutable; `None` if it was removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        slot.value.as_mut().filter(|_| slot.generation == key.generation)
    }

    /// All values with their keys, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let generation = slot.generation;
            let key = Key { index: index as u32, generation, kind: PhantomData };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// All values, mutable, in slot order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().filter_map(|slot| slot.value.as_mut())
    }

    /// Keys of the values that meet a condition, in slot order.
    pub fn keys_where(&self, condition: impl Fn(&T) -> bool) -> Vec<Key<T>> {
        self.iter().filter(|(_, value)| condition(value)).map(|(key, _)| key).collect()
    }

    /// Key of the first value in slot order that meets a condition.
    pub fn find(&self, condition: impl Fn(&T) -> bool) -> Option<Key<T>> {
        self.iter().find(|(_, value)| condition(value)).map(|(key, _)| key)
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
